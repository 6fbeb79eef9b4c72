package beaconladder.grant;

import beaconladder.lease.Answer;
import beaconladder.lease.Ask;
import beaconladder.lease.Grants;
import beaconladder.members.View;
import beaconladder.roster.HttpGet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The grantors as those see them who ask: one door after the other, until one answers. */
public final class Doors implements AutoCloseable {
    private final List<HttpGet> doors;
    private final int millis;
    private int at;

    /**
     * Doors that are given up after so long each.
     *
     * @param first which of them is tried first, so that those who ask are spread
     */
    public Doors(List<InetSocketAddress> all, int first, int millis) {
        this.doors = all.stream().map(HttpGet::new).toList();
        this.at = Math.floorMod(first, doors.size());
        this.millis = millis;
    }

    /** The answer, or null: this door gave none in time, and the next one is tried the next time. */
    public synchronized Answer ask(Ask ask) {
        String text = get("/v1/lease?ask=" + URLEncoder.encode(GrantText.text(ask), StandardCharsets.UTF_8));
        try {
            return text == null ? null : GrantText.answer(text);
        } catch (IOException e) {
            return null;
        }
    }

    /** All leases as a leader that is one has them, from whichever door answers; null where none does. */
    public synchronized Grants status() {
        for (int i = 0; i < doors.size(); i++) {
            String text = get("/v1/leases");
            try {
                if (text != null) {
                    return GrantText.grants(text);
                }
            } catch (IOException e) {
                at = (at + 1) % doors.size();
            }
        }
        return null;
    }

    /** The fleet as some grantor knows it, or null: none answers, or none takes part in it. */
    public synchronized View members() {
        for (int i = 0; i < doors.size(); i++) {
            String text = get("/v1/members");
            try {
                if (text != null) {
                    return GrantText.read(text, View.class);
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
        doors.forEach(HttpGet::end);
    }
}
