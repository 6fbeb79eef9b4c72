package beaconladder.simulation;

import beaconladder.routing.state.Host;

/**
 * An entry of an endpoint list.
 *
 * @param isPrimary whether the list names the host as the primary of its group
 * @param stateCode of the host, as on the wire
 */
record EndpointEntry(boolean isPrimary, int host, int zone, int group, int stateCode, long launchedMicros) {
    private static final int READY = 1;
    private static final int DRAINING = 2;

    Host.State state() {
        return switch (stateCode) {
            case READY -> Host.State.READY;
            case DRAINING -> Host.State.DRAINING;
            default -> Host.State.GONE;
        };
    }
}
