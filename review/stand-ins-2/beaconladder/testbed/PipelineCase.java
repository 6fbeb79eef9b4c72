package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Clients of a tenant that open more connections than its share, each writing several queries at once. */
public final class PipelineCase extends ReviewCase {
    private static final int CONNECTIONS = 12;
    private static final int QUERIES = 4;
    /** The queries' time of 2.5 s, the half second in which an answer only earns nothing, and the slack. */
    private static final int WAIT_MILLIS = 3_050;

    public static void main(String[] arguments) {
        main(new PipelineCase(), arguments);
    }

    @Override
    int play() throws Exception {
        MemberHost primary = new MemberHost(true);
        MemberHost replica = new MemberHost(false);
        DiscoveryStandIn discovery = new DiscoveryStandIn();
        String list = primary.entry("a", "Ready") + "," + replica.entry("b", "Ready");
        discovery.list(true, primary.entry("a", "Ready"), replica.entry("b", "Ready"));
        Path plan = folder.resolve("router.plan");
        Files.writeString(plan, """
                (cell north (groups 1) (share 4%))
                (cell south (groups 2) (share 96%))
                (tenant acme (cell north) (share 20%))
                (tenant beta (cell north) (share 80%))
                """);
        int port = freePort();
        Path config = folder.resolve("n0.json");
        Files.writeString(config, """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"version":0,"full":true,"servers":[%s]},
                 "settings":{"family_info":{"freshness":["loose","update"],"session_marks":"client"},
                  "limits":{"probes":true,"cancel":true,"second_copies":true,"max_attempts":10,
                   "dial_timeout_us":250000,"conn_idle_us":15000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"fees":{"probe":0.069},
                  "round_us":5000,"replicas_of_me":1,"zones":["east"],"parties":[{"name":"acme"},{"name":"beta"}],
                  "request_classes":[
                   {"name":"fare-history","effect":"pure","goal_time_us":800000,"give_up_us":2500000,"points":2,
                    "late_share":0.2},
                   {"name":"trip-book","effect":"side_effect","goal_time_us":1000000,"give_up_us":3000000,"points":3,
                    "late_share":0.7}]}}"""
                .formatted(port, discovery.port(), list));
        startRouter(config, folder.resolve("n0.log"), "--plan", plan.toString());
        awaitReady(port);
        say("the router is ready; acme has a fifth of its cell, which has 4% of the router");
        List<Socket> open = new ArrayList<>();
        int unanswered = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(WAIT_MILLIS);
            socket.setTcpNoDelay(true);
            open.add(socket);
            MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
            DataInputStream in = new DataInputStream(socket.getInputStream());
            readAnswer(in);
            unanswered += trouble ? allAtOnce(i, socket, in) : oneByOne(i, socket, in);
        }
        for (Socket socket : open) {
            socket.close();
        }
        say(unanswered + " queries that the router's machine accepted were never answered");
        return unanswered > 0 ? BROKEN : KEPT;
    }

    private int allAtOnce(int connection, Socket socket, DataInputStream in) throws IOException {
        MessageWriter queries = new MessageWriter();
        for (int i = 0; i < QUERIES; i++) {
            queries.append(MessageWriter.query(query(connection, i)));
        }
        queries.writeTo(socket.getOutputStream());
        List<String> answers = new ArrayList<>();
        while (answers.size() < QUERIES && !(answers.size() > 0 && answers.get(answers.size() - 1).contains("end"))) {
            answers.add(readAnswer(in));
        }
        int whole = (int) answers.stream()
                .filter(a -> !a.equals("end") && !a.equals("reset") && !a.equals("nothing"))
                .count();
        boolean reset = answers.contains("reset");
        say("connection " + connection + ": " + QUERIES + " queries at once, answered: " + answers
                + (whole < QUERIES && !reset ? "  <-- " + (QUERIES - whole) + " get no answer" : ""));
        // A reset tells that bytes were not read; an orderly end does not.
        return reset ? 0 : QUERIES - whole;
    }

    private int oneByOne(int connection, Socket socket, DataInputStream in) throws IOException {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < QUERIES; i++) {
            MessageWriter.query(query(connection, i)).writeTo(socket.getOutputStream());
            answers.add(readAnswer(in));
            if (answers.get(i).contains("end")) {
                break;
            }
        }
        say("connection " + connection + ": one query after the other, answered: " + answers);
        return List.of("end", "nothing").contains(answers.get(answers.size() - 1)) ? 1 : 0;
    }

    private static String query(int connection, int i) {
        return "SELECT doc FROM items WHERE id = 'k" + i + "' /* id=q" + connection + "-" + i
                + ",c=fare-history,t=acme,d=2500,cluster=1 */";
    }

    /** Reads one answer: "row", an error's code (with " end" where it is fatal), "end" or "reset" of the connection, "nothing". */
    private static String readAnswer(DataInputStream in) {
        String answer = "ready";
        try {
            while (true) {
                int type = in.read();
                if (type < 0) {
                    return answer.equals("ready") ? "end" : answer + " end";
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                if (type == 'D') {
                    answer = "row";
                } else if (type == 'E') {
                    answer = new String(body, StandardCharsets.UTF_8).replaceAll("(?s).*\0C([^\0]*)\0.*", "$1");
                } else if (type == 'Z') {
                    return answer;
                }
            }
        } catch (SocketTimeoutException e) {
            return "nothing";
        } catch (IOException e) {
            return answer.equals("ready") ? "reset" : answer + " end";
        }
    }
}
