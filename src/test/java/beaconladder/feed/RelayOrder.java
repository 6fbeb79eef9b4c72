package beaconladder.feed;

import java.util.List;

/** Makes the order of relays available to tests of other packages. */
public final class RelayOrder {
    private RelayOrder() {}

    /** The relay that a router polls first. */
    public static String first(String router, List<String> relays) {
        return Rendezvous.preferenceOrder(router, relays).get(0);
    }
}
