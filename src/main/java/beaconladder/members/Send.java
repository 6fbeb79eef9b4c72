package beaconladder.members;

/** A message and the address that it is for. */
public record Send(String address, Message message) {}
