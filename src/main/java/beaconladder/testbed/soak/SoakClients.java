package beaconladder.testbed.soak;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.StandInThreads;
import beaconladder.testbed.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of the soak: usual ones, ones that write ahead, that leave, that rest, and bad ones. */
final class SoakClients {
    /** Another soak on this machine may meet a port that was ours. */
    private static final String PREFIX = "r" + ProcessHandle.current().pid() + "-";

    private static final String GREETING = "R S S S S K Z";
    /** A client counts on its answer for so long behind its time; then it is lost. */
    private static final int PATIENCE_MILLIS = 1_500;
    /** Bad clients get their error or their close within this, and some slack of the machine. */
    private static final int BAD_MILLIS = 3_500;
    /** Some come with less time than an answer takes. */
    private static final int HURRIED_MILLIS = 60;

    private static final int MOST_AHEAD = 5;

    private final List<SoakRouter> routers;
    private final Map<String, Request> requests;
    private final List<String> broken;
    private final AtomicLong ids = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    /** Whether some clients send malformed or incomplete input. */
    volatile boolean malformedInput;

    private volatile boolean over;

    SoakClients(List<SoakRouter> routers, Map<String, Request> requests, List<String> broken) {
        this.routers = routers;
        this.requests = requests;
        this.broken = broken;
    }

    void start(int count, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            SplittableRandom own = random.split();
            threads.add(StandInThreads.spawn(() -> live(own)));
        }
    }

    /** Ends them once what they have out is answered. */
    void end() {
        over = true;
        threads.forEach(thread -> StandInThreads.join(thread, 10_000));
    }

    private void live(SplittableRandom random) {
        while (!over) {
            SoakRouter router = routers.get(random.nextInt(routers.size()));
            if (!router.ready()) {
                StandInThreads.sleep(5);
                continue;
            }
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
                socket.setTcpNoDelay(true);
                if (malformedInput && random.nextInt(12) == 0) {
                    behaveBadly(socket, random);
                } else {
                    converse(socket, router, random);
                }
            } catch (IOException e) {
                StandInThreads.sleep(5);
            }
        }
    }

    private void converse(Socket socket, SoakRouter router, SplittableRandom random) throws IOException {
        TestClient caller = new TestClient(socket);
        socket.setSoTimeout(3_000);
        MessageWriter.startup("app", "shop").writeTo(caller.out);
        if (!caller.answer().equals(GREETING)) {
            return;
        }
        long after = 0;
        for (int turns = 1 + random.nextInt(30); turns > 0 && !over; turns--) {
            int dice = random.nextInt(100);
            int ahead = dice < 15 ? 2 + random.nextInt(MOST_AHEAD - 1) : 1;
            Deque<Request> out = send(caller, router, ahead, after, random);
            if (dice >= 92) {
                StandInThreads.sleep(random.nextInt(300));
                out.forEach(request -> request.end(Request.Outcome.LEFT, "", System.nanoTime()));
                socket.close();
                return;
            }
            while (!out.isEmpty()) {
                if (!receive(socket, caller, out)) {
                    return;
                }
            }
            after = System.currentTimeMillis();
            StandInThreads.sleep(random.nextInt(20) == 0 ? random.nextInt(4_000) : random.nextInt(30));
        }
    }

    private Deque<Request> send(TestClient caller, SoakRouter router, int count, long after, SplittableRandom random) {
        Deque<Request> out = new ArrayDeque<>();
        MessageWriter text = new MessageWriter();
        for (int i = 0; i < count; i++) {
            RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
            boolean hurried = random.nextInt(12) == 0;
            Request request = new Request(
                    PREFIX + ids.incrementAndGet(),
                    kind,
                    hurried ? 1 + random.nextInt(HURRIED_MILLIS) : kind.budgetMillis,
                    router.number,
                    1 + random.nextInt(Soak.GROUPS),
                    i,
                    System.nanoTime());
            requests.put(request.id, request);
            out.add(request);
            text.append(MessageWriter.query(request.statement(after)));
        }
        try {
            text.writeTo(caller.out);
        } catch (IOException e) {
            // The answer shows the outcome.
        }
        return out;
    }

    /** Takes the answer to the first; false at the connection's end, with the others ended too. */
    private boolean receive(Socket socket, TestClient caller, Deque<Request> out) throws IOException {
        Request first = out.peek();
        long left = (first.deadlineNanos() - System.nanoTime()) / 1_000_000 + PATIENCE_MILLIS;
        socket.setSoTimeout((int) Math.max(1, left));
        String answer;
        try {
            answer = caller.answer();
        } catch (SocketTimeoutException e) {
            endAll(out, Request.Outcome.SILENT);
            return false;
        }
        long now = System.nanoTime();
        if (answer.endsWith("closed")) {
            endAll(
                    out,
                    !answer.equals("closed")
                            ? Request.Outcome.CUT
                            : caller.reset() ? Request.Outcome.UNREAD : Request.Outcome.CUT);
            return false;
        }
        out.poll();
        if (answer.startsWith("T D:")) {
            check(first, answer);
            first.end(Request.Outcome.SERVED, "", now);
        } else if (answer.startsWith("E:53300") || answer.startsWith("E:57P03")) {
            first.end(Request.Outcome.REFUSED, answer.substring(2, 7), now);
        } else {
            first.end(Request.Outcome.FAILED, answer, now);
        }
        return true;
    }

    private void check(Request request, String answer) {
        String own = HexFormat.of().formatHex(request.id.getBytes(StandardCharsets.US_ASCII));
        String got = answer.substring("T D:".length()).split(" ")[0];
        if (!own.startsWith(got)) {
            broken.add("a value that no host made for it: " + answer + " to " + request);
        }
    }

    private static void endAll(Deque<Request> out, Request.Outcome outcome) {
        long now = System.nanoTime();
        out.forEach(request -> request.end(outcome, "", now));
        out.clear();
    }

    /** Sends malformed or partial input and keeps the connection open; it must get an error or a close in time. */
    private void behaveBadly(Socket socket, SplittableRandom random) throws IOException {
        byte[] start = bytes(MessageWriter.startup("app", "shop"));
        byte[] query = bytes(MessageWriter.query("SELECT doc FROM items WHERE id = 'x' /* id=b"
                + ids.incrementAndGet()
                + ",c=own,t=acme,d=900,cluster=1,after=1e" + random.nextInt(99_999_999) + " */"));
        int way = random.nextInt(5);
        long from = System.nanoTime();
        switch (way) {
            case 0 -> socket.getOutputStream().write(start, 0, start.length / 2);
            case 1 -> socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            case 2 -> {
                socket.getOutputStream().write(start);
                socket.getOutputStream().write(query, 0, query.length - 3);
            }
            case 3 -> {
                socket.getOutputStream().write(start);
                socket.getOutputStream().write(new byte[] {'Q', 0x7f, 0, 0, 0, 1, 2, 3});
            }
            default -> {
                socket.getOutputStream().write(start);
                socket.getOutputStream().write(query);
            }
        }
        socket.setSoTimeout(BAD_MILLIS);
        TestClient caller = new TestClient(socket);
        socket.setSoTimeout(BAD_MILLIS);
        String said = "";
        try {
            while (!said.contains("E:") && !said.contains("closed")) {
                said = caller.answer();
            }
        } catch (SocketTimeoutException e) {
            broken.add("a bad client (way " + way + ") was neither told nor closed in "
                    + (System.nanoTime() - from) / 1_000_000 + " ms, " + said);
        }
    }

    private static byte[] bytes(MessageWriter out) {
        byte[] bytes = new byte[out.size()];
        out.asByteBuffer().get(bytes);
        return bytes;
    }
}
