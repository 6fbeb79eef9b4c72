package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A client that sends a booking and then what can't be read, and goes, during a planned handover of the primary. */
public final class GoneClientCase extends ReviewCase {
    private static final int CLIENTS = 3;
    /** The site's switch_ms goes up to 990. */
    private static final int SWITCH_MILLIS = 900;

    private static final int STAY_MILLIS = 150;
    /** How much of a value of 60 MB the client sends before it goes. */
    private static final int NOISE_BYTES = 200 * 1024;

    private static final int CLOSE_RULE_MILLIS = 100;

    public static void main(String[] arguments) {
        main(new GoneClientCase(), arguments);
    }

    private record Gone(String id, long closedMillis) {}

    @Override
    int play() throws Exception {
        MemberHost first = new MemberHost(true);
        MemberHost second = new MemberHost(false);
        DiscoveryStandIn discovery = new DiscoveryStandIn();
        discovery.list(true, first.entry("a", "Ready"), second.entry("b", "Ready"));
        int port = freePort();
        Path config = folder.resolve("n0.json");
        Files.writeString(
                config,
                """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"version":0,"full":true,"servers":[%s,%s]},
                 "settings":{"family_info":{"freshness":["recent","own_writes","loose","update"],
                   "oldest_data_us":[500000,0,0,0],"session_marks":"client"},
                  "limits":{"probes":true,"cancel":true,"second_copies":true,"max_attempts":10,
                   "dial_timeout_us":250000,"conn_idle_us":15000000},
                  "rules":{"drain_grace_us":2000000,"fall_multiple":3,"fall_us":1000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"fees":{"probe":0.069},
                  "round_us":5000,"replicas_of_me":1,"zones":["east"],"parties":[{"name":"radio-puerto"}],
                  "request_classes":[
                   {"name":"cab-board","effect":"pure","goal_time_us":800000,"give_up_us":2000000,"points":1},
                   {"name":"my-trip","effect":"pure","goal_time_us":750000,"give_up_us":3000000,"points":1,
                    "late_share":0.2},
                   {"name":"fare-history","effect":"pure","goal_time_us":800000,"give_up_us":2500000,"points":2,
                    "late_share":0.2},
                   {"name":"trip-book","effect":"side_effect","goal_time_us":1000000,"give_up_us":3000000,"points":3,
                    "late_share":0.7}]}}"""
                        .formatted(port, discovery.port(), first.entry("a", "Ready"), second.entry("b", "Ready")));
        startRouter(config, folder.resolve("n0.log"));
        awaitReady(port);
        say("the router is ready; a is the primary, b its replica");

        // Ordinary work first, so that the router knows both hosts.
        try (Client usual = new Client(port)) {
            for (int i = 0; i < 30; i++) {
                usual.ask(write("usual-" + i, 3_000));
                usual.ask("SELECT doc FROM items WHERE id = 'u" + i + "' /* id=r" + i
                        + ",c=fare-history,t=radio-puerto,d=2500,cluster=1 */");
            }
        }

        say("a hands over; the group takes no writes for " + SWITCH_MILLIS + " ms");
        long handoverMillis = System.currentTimeMillis();
        first.setLeader(false);
        List<Gone> gone = new ArrayList<>();
        List<Socket> sockets = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "gone-" + i;
            Client client = new Client(port);
            client.send(write(id, 3_000));
            say("client " + i + " sends " + id);
            ids.add(id);
            sockets.add(client.socket);
            if (trouble) {
                sendNoise(client.socket);
                say("client " + i + " sends the beginning of a value of 60 MB, " + NOISE_BYTES + " bytes of it");
            }
        }
        Thread.sleep(STAY_MILLIS);
        for (int i = 0; i < CLIENTS; i++) {
            sockets.get(i).close();
            gone.add(new Gone(ids.get(i), System.currentTimeMillis()));
            say("client " + i + " closes its connection");
        }
        sleepUntil(handoverMillis + SWITCH_MILLIS);
        second.setLeader(true);
        say("b is the primary");
        // The list is late: the site's notice_s is 0.76 to 3.4.
        Thread.sleep(600);
        discovery.list(true, first.entry("a", "Terminating"), second.entry("b", "Ready"));
        say("discovery lists a as draining");
        Thread.sleep(2_400);

        boolean broken = false;
        for (Gone each : gone) {
            broken |= report(each, "a", first);
            broken |= report(each, "b", second);
        }
        return broken ? BROKEN : KEPT;
    }

    private static void sendNoise(Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60 << 20).array());
        out.write(new byte[NOISE_BYTES]);
    }

    private boolean report(Gone gone, String name, MemberHost host) {
        boolean late = false;
        for (MemberHost.Arrival arrival : host.arrivals()) {
            if (arrival.text().contains("id=" + gone.id() + ",")) {
                long afterMillis = arrival.atMillis() - gone.closedMillis();
                boolean breaks = afterMillis > CLOSE_RULE_MILLIS + SLACK_MILLIS;
                say(gone.id() + " arrived at " + name + " at " + at(arrival.atMillis()) + ", " + afterMillis
                        + " ms after its client had closed: " + arrival.outcome() + (breaks ? "  <-- too late" : ""));
                late |= breaks;
            }
        }
        return late;
    }

    private static String write(String id, int budgetMillis) {
        return "INSERT INTO items (id, doc) VALUES ('" + id + "', '\\x9f03') RETURNING doc /* id=" + id
                + ",c=trip-book,t=radio-puerto,d=" + budgetMillis + ",cluster=1 */";
    }
}
