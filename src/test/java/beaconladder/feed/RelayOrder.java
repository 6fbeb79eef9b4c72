package beaconladder.feed;

import java.util.List;

/** For tests of other packages. */
public final class RelayOrder {
    private RelayOrder() {}

    /** The relay that a router polls first. */
    public static String first(String router, List<String> relays) {
        return Rendezvous.order(router, relays).get(0);
    }
}
