package beaconladder.membership;

/**
 * A message to be sent.
 *
 * @param address the receiver's host and port, or another address that the caller of the protocol can resolve
 */
public record OutgoingMessage(String address, Message message) {}
