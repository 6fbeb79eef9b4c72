package beaconladder.membership;

/** A message and the address that it is for. */
public record OutgoingMessage(String address, Message message) {}
