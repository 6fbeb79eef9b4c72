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
 * Clients that write ahead, and what they saw. What they wrote is answered, or its connection is reset with it unread;
 * nothing else is good enough, but where the router was killed.
 */
public final class PipeliningClients {
    private static final String GREETED = "R S S S S K Z";
    /** Update that there is no room, or that the router ends; neither has run. */
    private static final Set<String> DECLINED = Set.of("E:53300 Z", "E:53300 closed", "E:57P03 Z");

    /** What should not have been. */
    public final Queue<String> odd = new ConcurrentLinkedQueue<>();

    public final AtomicInteger answered = new AtomicInteger();
    public final AtomicInteger served = new AtomicInteger();
    public final AtomicInteger declined = new AtomicInteger();
    /** Connections that ended with what was written last known not to have been read. */
    public final AtomicInteger unread = new AtomicInteger();
    /** Txns that were in hand at a router that was killed. */
    public final AtomicInteger killed = new AtomicInteger();

    private final Set<String> told = ConcurrentHashMap.newKeySet();
    private final List<HostStandIn> hosts;
    private final IntPredicate kills;

    /**
     * Clients of routers before these hosts.
     *
     * @param kills whether the router at this port has been killed by now
     */
    public PipeliningClients(List<HostStandIn> hosts, IntPredicate kills) {
        this.hosts = hosts;
        this.kills = kills;
    }

    /** Sends these on one connection, startup and all at once, and again what was reset unread. */
    public void batch(int port, String name, int size, SplittableRandom chance, Over over)
            throws IOException, InterruptedException {
        List<String> left = queries(name, size, chance);
        while (!left.isEmpty()) {
            try (TestClient caller = new TestClient(new Socket(InetAddress.getLoopbackAddress(), port))) {
                MessageWriter out = MessageWriter.startup("app", "shop");
                left.forEach(query -> out.append(MessageWriter.query(query)));
                write(caller, out);
                String greeting = caller.answer();
                if (greeting.equals("E:53300 closed")) {
                    // Update that there is no room: that is an answer to all of it.
                    left.forEach(query -> got(query, greeting));
                    return;
                }
                if (greeting.equals("closed") && kills.test(port)) {
                    killed.addAndGet(left.size());
                    return;
                }
                if (greeting.equals("closed") ? !caller.reset() : !greeting.equals(GREETED)) {
                    odd.add(name + " greeted " + greeting);
                    return;
                }
                answers(port, caller, left);
            } catch (SocketException e) {
                if (over.over()) {
                    return;
                }
                Thread.sleep(5);
            }
        }
    }

    /** Whether no more is wanted. */
    public interface Over {
        boolean over();
    }

    /** Sends these on an open connection; false when it has ended, with what has no answer yet unread. */
    public boolean ask(int port, TestClient caller, String name, int size, SplittableRandom chance) throws IOException {
        List<String> left = queries(name, size, chance);
        MessageWriter out = new MessageWriter();
        left.forEach(query -> out.append(MessageWriter.query(query)));
        write(caller, out);
        return answers(port, caller, left);
    }

    /**
     * Keeps so many queries written ahead on one connection for as long as it stays open: another goes out with each
     * answer, so that the connection is never idle.
     */
    public void stream(int port, String name, int ahead, SplittableRandom chance, Over over)
            throws IOException, InterruptedException {
        TestClient caller = open(port);
        if (caller == null) {
            return;
        }
        try (caller) {
            List<String> left = queries(name, ahead, chance);
            MessageWriter first = new MessageWriter();
            left.forEach(query -> first.append(MessageWriter.query(query)));
            write(caller, first);
            for (int i = ahead; !left.isEmpty(); i++) {
                if (!answer(port, caller, left)) {
                    return;
                }
                if (!over.over()) {
                    left.add(query(name + "-" + i, chance));
                    write(caller, MessageWriter.query(left.get(left.size() - 1)));
                }
            }
        }
    }

    private boolean answers(int port, TestClient caller, List<String> left) throws IOException {
        while (!left.isEmpty()) {
            if (!answer(port, caller, left)) {
                return false;
            }
        }
        return true;
    }

    /** Takes the next answer; false at the end of the connection, with what can't be sent again taken out. */
    private boolean answer(int port, TestClient caller, List<String> left) throws IOException {
        String answer;
        try {
            answer = caller.answer();
        } catch (SocketTimeoutException e) {
            odd.add("never answered: " + left);
            left.clear();
            return false;
        }
        if (!answer.equals("closed")) {
            got(left.remove(0), answer);
            return true;
        }
        if (kills.test(port)) {
            // Nobody knows which of them were in hand.
            killed.addAndGet(left.size());
            left.clear();
        } else if (!caller.reset()) {
            odd.add("taken and never answered: " + left);
            left.clear();
        } else {
            unread.incrementAndGet();
            left.stream().filter(this::reached).forEach(query -> odd.add("sent on, never answered: " + query));
        }
        return false;
    }

    private boolean reached(String query) {
        String id = query.replaceAll(".*/\\* (id=[^,]*,).*", "$1");
        return hosts.stream().anyMatch(host -> host.sawBefore(id, Long.MAX_VALUE));
    }

    private void got(String query, String answer) {
        answered.incrementAndGet();
        if (!told.add(query)) {
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

    /** An open connection, or null: there was no room, or nobody there. */
    public TestClient open(int port) throws IOException, InterruptedException {
        try {
            TestClient caller = new TestClient(new Socket(InetAddress.getLoopbackAddress(), port));
            write(caller, MessageWriter.startup("app", "shop"));
            String greeting = caller.answer();
            if (greeting.equals(GREETED)) {
                return caller;
            }
            if (!greeting.equals("E:53300 closed") && !greeting.equals("closed")) {
                odd.add("greeted " + greeting);
            }
            caller.close();
        } catch (SocketException e) {
            // Nobody there now.
        }
        Thread.sleep(20);
        return null;
    }

    private static void write(TestClient caller, MessageWriter out) throws IOException {
        try {
            out.writeTo(caller.out);
        } catch (SocketException e) {
            // The answer tells.
        }
    }

    private static List<String> queries(String name, int size, SplittableRandom chance) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(query(name + "-" + i, chance));
        }
        return all;
    }

    private static String query(String id, SplittableRandom chance) {
        return chance.nextInt(3) == 0
                ? "INSERT INTO items (id, doc) VALUES ('k', '\\x9f03') RETURNING doc /* id=" + id
                        + ",c=write,t=acme,d=2000,cluster=1 */"
                : "SELECT doc FROM items WHERE id = 'k' /* id=" + id + ",c=any,t=acme,d=2000,cluster=1 */";
    }

    /** Writes that reached a host more than once, by their ids. */
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
