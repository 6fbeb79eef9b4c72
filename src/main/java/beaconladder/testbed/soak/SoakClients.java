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

/**
 * The clients of the soak: some pipeline queries, close their connection before the answer, stay idle for a while, or
 * send malformed input.
 */
final class SoakClients {
    /** Makes ids unique across soaks: a client of another soak on this machine may connect to a port reused here. */
    private static final String ID_PREFIX = "r" + ProcessHandle.current().pid() + "-";

    private static final String GREETING = "R S S S S K Z";
    /** How long after its deadline a client waits for an answer before it counts as lost. */
    private static final int ANSWER_GRACE_MILLIS = 1_500;
    /** The time within which malformed input must get an error or a close, with an allowance for a slow machine. */
    private static final int MALFORMED_INPUT_TIMEOUT_MILLIS = 3_500;
    /** The upper bound of short budgets, which may be less than an answer takes. */
    private static final int MAX_SHORT_BUDGET_MILLIS = 60;

    private static final int STOP_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_PIPELINED = 5;
    private static final int PIPELINING_PERCENT = 15;
    /** Clients that draw this number or more, of 0 to 99, leave without waiting for the answer. */
    private static final int FIRST_LEAVING_DRAW = 92;

    private final List<SoakRouter> routers;
    private final Map<String, Request> requests;
    private final List<String> violations;
    private final AtomicLong ids = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    /** Whether some clients send malformed or incomplete input. */
    volatile boolean malformedInput;

    private volatile boolean stopping;

    SoakClients(List<SoakRouter> routers, Map<String, Request> requests, List<String> violations) {
        this.routers = routers;
        this.requests = requests;
        this.violations = violations;
    }

    /** Starts the given number of clients. */
    void start(int count, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            SplittableRandom clientRandom = random.split();
            threads.add(StandInThreads.spawn(() -> runClient(clientRandom)));
        }
    }

    /** Stops all clients as soon as their requests in flight are answered. */
    void end() {
        stopping = true;
        threads.forEach(thread -> StandInThreads.join(thread, STOP_TIMEOUT_MILLIS));
    }

    private void runClient(SplittableRandom random) {
        while (!stopping) {
            SoakRouter router = routers.get(random.nextInt(routers.size()));
            if (!router.ready()) {
                StandInThreads.sleep(5);
                continue;
            }
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
                socket.setTcpNoDelay(true);
                if (malformedInput && random.nextInt(12) == 0) {
                    sendMalformedInput(socket, random);
                } else {
                    useConnection(socket, router, random);
                }
            } catch (IOException e) {
                StandInThreads.sleep(5);
            }
        }
    }

    private void useConnection(Socket socket, SoakRouter router, SplittableRandom random) throws IOException {
        TestClient client = new TestClient(socket);
        socket.setSoTimeout(3_000);
        MessageWriter.startup("app", "shop").writeTo(client.out);
        if (!client.answer().equals(GREETING)) {
            return;
        }
        long afterMillis = 0;
        for (int writes = 1 + random.nextInt(30); writes > 0 && !stopping; writes--) {
            int draw = random.nextInt(100);
            int count = draw < PIPELINING_PERCENT ? 2 + random.nextInt(MAX_PIPELINED - 1) : 1;
            Deque<Request> pending = send(client, router, count, afterMillis, random);
            if (draw >= FIRST_LEAVING_DRAW) {
                StandInThreads.sleep(random.nextInt(300));
                pending.forEach(request -> request.end(Request.Outcome.LEFT, "", System.nanoTime()));
                socket.close();
                return;
            }
            while (!pending.isEmpty()) {
                if (!receive(socket, client, pending)) {
                    return;
                }
            }
            afterMillis = System.currentTimeMillis();
            StandInThreads.sleep(random.nextInt(20) == 0 ? random.nextInt(4_000) : random.nextInt(30));
        }
    }

    /** Sends this many queries without reading an answer, and closes the connection soon after the last. */
    void leaveBehindQueries(SoakRouter router, int count, SplittableRandom random) {
        Deque<Request> pending = new ArrayDeque<>();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            TestClient client = new TestClient(socket);
            MessageWriter.startup("app", "shop").writeTo(client.out);
            if (!client.answer().equals(GREETING)) {
                return;
            }
            pending = send(client, router, count, 0, random);
            StandInThreads.sleep(random.nextInt(100));
            pending.forEach(request -> request.end(Request.Outcome.LEFT, "", System.nanoTime()));
        } catch (IOException e) {
            pending.forEach(request -> request.end(Request.Outcome.LEFT, "", System.nanoTime()));
        }
    }

    /** Sends this many queries in one write. */
    private Deque<Request> send(
            TestClient client, SoakRouter router, int count, long afterMillis, SplittableRandom random) {
        Deque<Request> pending = new ArrayDeque<>();
        MessageWriter message = new MessageWriter();
        for (int i = 0; i < count; i++) {
            RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
            boolean shortBudget = random.nextInt(12) == 0;
            Request request = new Request(
                    ID_PREFIX + ids.incrementAndGet(),
                    kind,
                    shortBudget ? 1 + random.nextInt(MAX_SHORT_BUDGET_MILLIS) : kind.budgetMillis,
                    router.number,
                    1 + random.nextInt(Soak.GROUPS),
                    i,
                    System.nanoTime());
            requests.put(request.id, request);
            pending.add(request);
            message.append(MessageWriter.query(request.statement(afterMillis)));
        }
        try {
            message.writeTo(client.out);
        } catch (IOException e) {
            // The outcome is determined when the answer is read.
        }
        return pending;
    }

    /**
     * Receives the answer to the first pending request. Returns false when the connection has ended or the answer does
     * not arrive in time; all pending requests have their outcome then.
     */
    private boolean receive(Socket socket, TestClient client, Deque<Request> pending) throws IOException {
        Request first = pending.peek();
        long remainingMillis = (first.deadlineNanos() - System.nanoTime()) / 1_000_000 + ANSWER_GRACE_MILLIS;
        socket.setSoTimeout((int) Math.max(1, remainingMillis));
        String answer;
        try {
            answer = client.answer();
        } catch (SocketTimeoutException e) {
            endAll(pending, Request.Outcome.SILENT);
            return false;
        }
        long nowNanos = System.nanoTime();
        if (answer.endsWith("closed")) {
            endAll(
                    pending,
                    !answer.equals("closed")
                            ? Request.Outcome.CUT
                            : client.reset() ? Request.Outcome.UNREAD : Request.Outcome.CUT);
            return false;
        }
        pending.poll();
        if (answer.startsWith("T D:")) {
            check(first, answer);
            first.end(Request.Outcome.SERVED, "", nowNanos);
        } else if (answer.startsWith("E:53300") || answer.startsWith("E:57P03")) {
            first.end(Request.Outcome.REFUSED, answer.substring(2, 7), nowNanos);
        } else {
            first.end(Request.Outcome.FAILED, answer, nowNanos);
        }
        return true;
    }

    private void check(Request request, String answer) {
        String expectedValue = HexFormat.of().formatHex(request.id.getBytes(StandardCharsets.US_ASCII));
        String receivedValue = answer.substring("T D:".length()).split(" ")[0];
        if (!expectedValue.startsWith(receivedValue)) {
            violations.add(
                    "an answer with a value that no host returned for its request: " + answer + " to " + request);
        }
    }

    private static void endAll(Deque<Request> pending, Request.Outcome outcome) {
        long nowNanos = System.nanoTime();
        pending.forEach(request -> request.end(outcome, "", nowNanos));
        pending.clear();
    }

    /** Sends malformed or incomplete input and keeps the connection open; it must get an error or a close in time. */
    private void sendMalformedInput(Socket socket, SplittableRandom random) throws IOException {
        byte[] start = bytes(MessageWriter.startup("app", "shop"));
        byte[] query = bytes(MessageWriter.query("SELECT doc FROM items WHERE id = 'x' /* id=b"
                + ids.incrementAndGet()
                + ",c=own,t=acme,d=900,cluster=1,after=1e" + random.nextInt(99_999_999) + " */"));
        int variant = random.nextInt(5);
        long startNanos = System.nanoTime();
        switch (variant) {
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
        socket.setSoTimeout(MALFORMED_INPUT_TIMEOUT_MILLIS);
        TestClient client = new TestClient(socket);
        socket.setSoTimeout(MALFORMED_INPUT_TIMEOUT_MILLIS);
        String lastAnswer = "";
        try {
            while (!lastAnswer.contains("E:") && !lastAnswer.contains("closed")) {
                lastAnswer = client.answer();
            }
        } catch (SocketTimeoutException e) {
            violations.add("malformed input (variant " + variant + ") got neither an error nor a close within "
                    + (System.nanoTime() - startNanos) / 1_000_000 + " ms, last answer: " + lastAnswer);
        }
    }

    private static byte[] bytes(MessageWriter message) {
        byte[] bytes = new byte[message.size()];
        message.asByteBuffer().get(bytes);
        return bytes;
    }
}
