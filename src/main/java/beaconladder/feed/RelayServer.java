package beaconladder.feed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/**
 * Where a relay answers routers: a task for each connection, no more of them than stated, each with one request and one
 * answer at a time. Nothing is queued for a router that does not read.
 */
final class RelayServer implements AutoCloseable {
    /** What a poll takes, many times over; some kilobytes a connection are most of what a relay holds. */
    private static final Http1Config FRAMES = Http1Config.custom()
            .setBufferSize(1024)
            .setMaxLineLength(2048)
            .setMaxHeaderCount(32)
            .build();
    /** A router polls again at once; one that is silent for so long is gone. */
    private static final int IDLE_MILLIS = 10_000;
    /** The largest answer takes less at a hundredth of a gigabit a second; who reads slower is cut off. */
    private static final long WRITE_NANOS = 5_000_000_000L;
    /** As a router's tasks have it; what is never touched takes no memory. */
    private static final long STACK = 256 * 1024;

    /** What is said to a request. */
    interface Answering {
        /** The body; an exception is a request that is not whole. */
        byte[] answer(String path, QueryString query) throws IOException, InterruptedException;
    }

    /** A connection, and since when an answer is on its way over it, or 0. */
    private static final class Open {
        private final Socket socket;
        private volatile long writes;

        private Open(Socket socket) {
            this.socket = socket;
        }
    }

    private final ServerSocket door = new ServerSocket();
    private final Answering answering;
    private final int most;
    private final Set<Open> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    final AtomicLong bytesIn = new AtomicLong();
    final AtomicLong bytesOut = new AtomicLong();
    final AtomicLong answers = new AtomicLong();
    final AtomicLong refused = new AtomicLong();

    RelayServer(InetSocketAddress at, int most, Answering answering) throws IOException {
        this.answering = answering;
        this.most = most;
        door.setReuseAddress(true);
        door.bind(at, 1024);
        spawn(this::accept);
        spawn(this::watch);
    }

    InetSocketAddress at() {
        return (InetSocketAddress) door.getLocalSocketAddress();
    }

    int connections() {
        return open.size();
    }

    private static void spawn(Runnable task) {
        Thread thread = new Thread(null, task, "relay", STACK);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = door.accept();
                if (open.size() >= most) {
                    refused.incrementAndGet();
                    socket.close();
                    continue;
                }
                Open each = new Open(socket);
                open.add(each);
                spawn(() -> serve(each));
            } catch (IOException e) {
                rest();
            }
        }
    }

    private static void rest() {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Open each) {
        try (each.socket;
                DefaultBHttpServerConnection http = new DefaultBHttpServerConnection("http", FRAMES)) {
            each.socket.setTcpNoDelay(true);
            each.socket.setSoTimeout(IDLE_MILLIS);
            http.bind(each.socket);
            long in = 0;
            long out = 0;
            while (!closed && answer(each, http)) {
                long read = http.getEndpointDetails().getReceivedBytesCount();
                long written = http.getEndpointDetails().getSentBytesCount();
                bytesIn.addAndGet(read - in);
                bytesOut.addAndGet(written - out);
                in = read;
                out = written;
                answers.incrementAndGet();
            }
        } catch (IOException | HttpException | InterruptedException e) {
            // The router is gone, or sends what is no request.
        } finally {
            open.remove(each);
        }
    }

    private boolean answer(Open each, DefaultBHttpServerConnection http)
            throws IOException, HttpException, InterruptedException {
        ClassicHttpRequest request = http.receiveRequestHeader();
        if (request == null || !request.getMethod().equals("GET")) {
            return false;
        }
        String path = request.getPath();
        int mark = path.indexOf('?');
        int code = 200;
        byte[] body;
        try {
            body = answering.answer(
                    mark < 0 ? path : path.substring(0, mark),
                    new QueryString(mark < 0 ? null : path.substring(mark + 1)));
        } catch (IOException e) {
            code = 400;
            body = FeedJson.text(java.util.Map.of("error", String.valueOf(e.getMessage())))
                    .getBytes(java.nio.charset.StandardCharsets.UTF_8);
        }
        ClassicHttpResponse response = new BasicClassicHttpResponse(code);
        response.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
        response.setHeader("Content-Length", body.length);
        each.writes = System.nanoTime() | 1;
        http.sendResponseHeader(response);
        http.sendResponseEntity(response);
        http.flush();
        each.writes = 0;
        return code == 200;
    }

    /** Ends connections whose router does not take its answer. */
    private void watch() {
        while (!closed) {
            for (Open each : open) {
                long since = each.writes;
                if (since != 0 && System.nanoTime() - since > WRITE_NANOS) {
                    close(each);
                }
            }
            try {
                TimeUnit.SECONDS.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void close(Open each) {
        try {
            each.socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            door.close();
        } catch (IOException e) {
            // It is gone either way.
        }
        open.forEach(RelayServer::close);
    }
}
