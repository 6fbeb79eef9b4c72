package beaconladder.testbed;

import beaconladder.pg.MessageWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntPredicate;

/**
 * Clients that pipeline queries, and counts of the results. Each query must be answered, or its connection must be
 * reset while the query is unread; any other result is recorded as a violation unless the router was killed.
 */
public final class PipeliningClients {
    private static final int RETRY_MILLIS = 5;
    private static final int RECONNECT_MILLIS = 20;
    /** The messages of a router that accepts a client, as {@link TestClient#answer} describes them. */
    private static final String GREETING = "R S S S S K Z";
    /** Answers that reject a query without running it: the router is full (53300) or shuts down (57P03). */
    private static final Set<String> DECLINED = Set.of("E:53300 Z", "E:53300 closed", "E:57P03 Z");

    /** Descriptions of the violations. */
    public final Queue<String> odd = new ConcurrentLinkedQueue<>();

    /** Queries that were answered, served or declined. */
    public final AtomicInteger answered = new AtomicInteger();

    public final AtomicInteger served = new AtomicInteger();
    public final AtomicInteger declined = new AtomicInteger();
    /** Connections that were reset while their unanswered queries were still unread. */
    public final AtomicInteger unread = new AtomicInteger();
    /** Unanswered queries on connections to routers that were killed. */
    public final AtomicInteger killed = new AtomicInteger();

    /** Queries that have been answered, to detect a second answer. */
    private final Set<String> answeredQueries = ConcurrentHashMap.newKeySet();

    private final List<HostStandIn> hosts;
    private final IntPredicate wasKilled;

    /**
     * Creates clients of routers that send to these hosts.
     *
     * @param wasKilled returns whether the router at a port has been killed
     */
    public PipeliningClients(List<HostStandIn> hosts, IntPredicate wasKilled) {
        this.hosts = hosts;
        this.wasKilled = wasKilled;
    }

    /**
     * Sends queries and the startup message in one write on a new connection, and sends again on another connection
     * what a reset left unread.
     */
    public void batch(int port, String name, int size, SplittableRandom random, Over over)
            throws IOException, InterruptedException {
        List<String> unanswered = queries(name, size, random);
        while (!unanswered.isEmpty()) {
            try (TestClient client = new TestClient(new Socket(InetAddress.getLoopbackAddress(), port))) {
                MessageWriter out = MessageWriter.startup("app", "shop");
                unanswered.forEach(query -> out.append(MessageWriter.query(query)));
                write(client, out);
                String greeting = client.answer();
                if (greeting.equals("E:53300 closed")) {
                    // The router is full: the rejection answers every query on the connection.
                    unanswered.forEach(query -> recordAnswer(query, greeting));
                    return;
                }
                if (greeting.equals("closed") && wasKilled.test(port)) {
                    killed.addAndGet(unanswered.size());
                    return;
                }
                if (greeting.equals("closed") ? !client.reset() : !greeting.equals(GREETING)) {
                    odd.add(name + " greeted " + greeting);
                    return;
                }
                readAnswers(port, client, unanswered);
            } catch (SocketException e) {
                if (over.over()) {
                    return;
                }
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    /** Reports whether the clients are to send no more queries. */
    public interface Over {
        boolean over();
    }

    /** Sends queries on an open connection and reads the answers; returns false if the connection has ended. */
    public boolean ask(int port, TestClient client, String name, int size, SplittableRandom random) throws IOException {
        List<String> unanswered = queries(name, size, random);
        MessageWriter out = new MessageWriter();
        unanswered.forEach(query -> out.append(MessageWriter.query(query)));
        write(client, out);
        return readAnswers(port, client, unanswered);
    }

    /**
     * Keeps a number of queries outstanding on a new connection for as long as it stays open. It sends another query
     * after each answer, so that the connection is never idle.
     *
     * @param depth the number of outstanding queries
     */
    public void stream(int port, String name, int depth, SplittableRandom random, Over over)
            throws IOException, InterruptedException {
        TestClient client = open(port);
        if (client == null) {
            return;
        }
        try (client) {
            List<String> unanswered = queries(name, depth, random);
            MessageWriter first = new MessageWriter();
            unanswered.forEach(query -> first.append(MessageWriter.query(query)));
            write(client, first);
            for (int i = depth; !unanswered.isEmpty(); i++) {
                if (!readAnswer(port, client, unanswered)) {
                    return;
                }
                if (!over.over()) {
                    unanswered.add(query(name + "-" + i, random));
                    write(client, MessageWriter.query(unanswered.get(unanswered.size() - 1)));
                }
            }
        }
    }

    private boolean readAnswers(int port, TestClient client, List<String> unanswered) throws IOException {
        while (!unanswered.isEmpty()) {
            if (!readAnswer(port, client, unanswered)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Reads the next answer. Returns false if there is none because the connection has ended; the list then holds only
     * queries that may be sent again.
     */
    private boolean readAnswer(int port, TestClient client, List<String> unanswered) throws IOException {
        String answer;
        try {
            answer = client.answer();
        } catch (SocketTimeoutException e) {
            odd.add("never answered: " + unanswered);
            unanswered.clear();
            return false;
        }
        if (!answer.equals("closed")) {
            recordAnswer(unanswered.remove(0), answer);
            return true;
        }
        if (wasKilled.test(port)) {
            // It is unknown which of these queries the killed router had read.
            killed.addAndGet(unanswered.size());
            unanswered.clear();
        } else if (!client.reset()) {
            odd.add("taken and never answered: " + unanswered);
            unanswered.clear();
        } else {
            unread.incrementAndGet();
            unanswered.stream()
                    .filter(this::reachedHost)
                    .forEach(query -> odd.add("sent on, never answered: " + query));
        }
        return false;
    }

    /** Returns whether a host has received this query. */
    private boolean reachedHost(String query) {
        String id = query.replaceAll(".*/\\* (id=[^,]*,).*", "$1");
        return hosts.stream().anyMatch(host -> host.sawBefore(id, Long.MAX_VALUE));
    }

    private void recordAnswer(String query, String answer) {
        answered.incrementAndGet();
        if (!answeredQueries.add(query)) {
            odd.add("answered twice: " + query);
        }
        if (answer.equals("T D:00ff27 C:SELECT 1 Z")) {
            served.incrementAndGet();
        } else if (DECLINED.contains(answer)) {
            declined.incrementAndGet();
        } else {
            odd.add(answer + " to " + query);
        }
    }

    /** Returns an open connection, or null if the router is full or not reachable. */
    public TestClient open(int port) throws IOException, InterruptedException {
        try {
            TestClient client = new TestClient(new Socket(InetAddress.getLoopbackAddress(), port));
            write(client, MessageWriter.startup("app", "shop"));
            String greeting = client.answer();
            if (greeting.equals(GREETING)) {
                return client;
            }
            if (!greeting.equals("E:53300 closed") && !greeting.equals("closed")) {
                odd.add("greeted " + greeting);
            }
            client.close();
        } catch (SocketException e) {
            // No process listens on the port at present.
        }
        Thread.sleep(RECONNECT_MILLIS);
        return null;
    }

    private static void write(TestClient client, MessageWriter out) throws IOException {
        try {
            out.writeTo(client.out);
        } catch (SocketException e) {
            // Reading the answer finds the end of the connection.
        }
    }

    private static List<String> queries(String name, int size, SplittableRandom random) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(query(name + "-" + i, random));
        }
        return all;
    }

    private static String query(String id, SplittableRandom random) {
        return random.nextInt(3) == 0
                ? "INSERT INTO items (id, doc) VALUES ('k', '\\x9f03') RETURNING doc /* id=" + id
                        + ",c=write,t=acme,d=2000,cluster=1 */"
                : "SELECT doc FROM items WHERE id = 'k' /* id=" + id + ",c=any,t=acme,d=2000,cluster=1 */";
    }

    /** Returns the ids of the writes that reached hosts more than once. */
    public List<String> writesThatRanTwice() {
        Set<String> seen = ConcurrentHashMap.newKeySet();
        return hosts.stream()
                .flatMap(host -> host.queries().stream())
                .filter(q -> q.startsWith("INSERT"))
                .map(q -> q.replaceAll(".*id=([^,]*),c=.*", "$1"))
                .filter(id -> !seen.add(id))
                .toList();
    }
}
