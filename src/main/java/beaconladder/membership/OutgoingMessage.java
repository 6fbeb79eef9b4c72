package beaconladder.membership;

/**
 * A message to be sent.
 *
 * @param address host and port of the receiver, or what the caller of the protocol uses for that
 */
public record OutgoingMessage(String address, Message message) {}
