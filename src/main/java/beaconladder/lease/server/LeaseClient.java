package beaconladder.lease.server;

import beaconladder.discovery.HttpFetcher;
import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseResponse;
import beaconladder.lease.LeaseTable;
import beaconladder.membership.MembershipView;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The grantors as those see them who ask: one door after the other, until one answers. */
public final class LeaseClient implements AutoCloseable {
    private final List<HttpFetcher> doors;
    private final int millis;
    private int at;

    /**
     * Doors that are given up after so long each.
     *
     * @param first which of them is tried first, so that those who ask are spread
     */
    public LeaseClient(List<InetSocketAddress> all, int first, int millis) {
        this.doors = all.stream().map(HttpFetcher::new).toList();
        this.at = Math.floorMod(first, doors.size());
        this.millis = millis;
    }

    /** The answer, or null: this door gave none in time, and the next one is tried the next time. */
    public synchronized LeaseResponse ask(LeaseRequest ask) {
        String text = get("/v1/lease?ask=" + URLEncoder.encode(LeaseJson.text(ask), StandardCharsets.UTF_8));
        try {
            return text == null ? null : LeaseJson.answer(text);
        } catch (IOException e) {
            return null;
        }
    }

    /** All leases as a leader that is one has them, from whichever door answers; null where none does. */
    public synchronized LeaseTable status() {
        for (int i = 0; i < doors.size(); i++) {
            String text = get("/v1/leases");
            try {
                if (text != null) {
                    return LeaseJson.grants(text);
                }
            } catch (IOException e) {
                at = (at + 1) % doors.size();
            }
        }
        return null;
    }

    /** The fleet as some grantor knows it, or null: none answers, or none takes part in it. */
    public synchronized MembershipView members() {
        for (int i = 0; i < doors.size(); i++) {
            String text = get("/v1/members");
            try {
                if (text != null) {
                    return LeaseJson.read(text, MembershipView.class);
                }
            } catch (IOException e) {
                at = (at + 1) % doors.size();
            }
        }
        return null;
    }

    private String get(String path) {
        try {
            return doors.get(at).get(path, millis);
        } catch (IOException e) {
            at = (at + 1) % doors.size();
            return null;
        }
    }

    @Override
    public void close() {
        doors.forEach(HttpFetcher::close);
    }
}
