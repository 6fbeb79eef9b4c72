package beaconladder.testbed.soak;

import beaconladder.pg.MessageWriter;
import beaconladder.testbed.StandInThreads;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Injects clients that harm a router: floods, crowds, and closes behind much that is unread. */
final class ClientFaultInjector {
    private static final int FLOODING_CLIENTS = 4;
    private static final int QUERIES_PER_WRITE = 200;
    private static final int WRITE_INTERVAL_MILLIS = 1;
    private static final int FLOOD_BUDGET_MILLIS = 300;
    private static final int CROWD_CLIENTS = 60;
    private static final int READS_PER_CROWD_CLIENT = 40;
    private static final int MANY_FIELDS = 2_000;
    private static final int LARGE_VALUE_HEX = 100_000;
    private static final int LEAVING_CLIENTS = 4;
    private static final int QUERIES_BEFORE_CLOSE = 1_500;
    private static final int TASK_TIMEOUT_MILLIS = 10_000;

    private final SoakFleet fleet;
    private final AtomicLong ids = new AtomicLong();

    ClientFaultInjector(SoakFleet fleet) {
        this.fleet = fleet;
    }

    /** Begins a fault at this router and returns the handle that ends it. */
    FaultInjector.ActiveFault begin(FaultKind fault, SoakRouter router, SplittableRandom random) {
        return switch (fault) {
            case CLIENT_FLOOD -> flood(router, random);
            case CLIENT_CROWD -> crowd(router, random);
            case CLIENTS_LEAVE -> leave(router, random);
            default -> throw new IllegalArgumentException(fault + " is not a fault of clients");
        };
    }

    private FaultInjector.ActiveFault flood(SoakRouter router, SplittableRandom random) {
        AtomicBoolean over = new AtomicBoolean();
        List<Thread> tasks = new ArrayList<>();
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            int kind = random.nextInt(4);
            tasks.add(StandInThreads.spawn(() -> {
                while (!over.get()) {
                    floodOneConnection(router, kind, over);
                    StandInThreads.sleep(20);
                }
            }));
        }
        return () -> {
            over.set(true);
            tasks.forEach(task -> StandInThreads.join(task, TASK_TIMEOUT_MILLIS));
        };
    }

    private void floodOneConnection(SoakRouter router, int kind, AtomicBoolean over) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port)) {
            StandInThreads.spawn(() -> dropAnswers(socket));
            MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
            while (!over.get()) {
                MessageWriter queries = new MessageWriter();
                for (int i = 0; i < QUERIES_PER_WRITE; i++) {
                    queries.append(MessageWriter.query(floodQuery(kind)));
                }
                queries.writeTo(socket.getOutputStream());
                // Hosts and other clients are threads of the same process, and need a share of the processor.
                StandInThreads.sleep(WRITE_INTERVAL_MILLIS);
            }
        } catch (IOException e) {
            // The router ends, or ends the connection.
        }
    }

    private String floodQuery(int kind) {
        return switch (kind) {
            case 0 -> "";
            case 1 -> "SET a = 1";
            case 2 -> "SELEC nonsense";
            default -> read("");
        };
    }

    private String read(String extraFields) {
        return "SELECT doc FROM items WHERE id = 'f' /* id=flood" + ids.incrementAndGet() + ",c=any,t=acme,d="
                + FLOOD_BUDGET_MILLIS + ",cluster=1" + extraFields + " */";
    }

    private static void dropAnswers(Socket socket) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = socket.getInputStream();
            while (in.read(buffer) >= 0) {
                continue;
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    /** Opens connections that read no answers, stop in the middle of a large message, or send very many fields. */
    private FaultInjector.ActiveFault crowd(SoakRouter router, SplittableRandom random) {
        List<Socket> sockets = new ArrayList<>();
        int kind = random.nextInt(3);
        Thread task = StandInThreads.spawn(() -> {
            for (int i = 0; i < CROWD_CLIENTS; i++) {
                try {
                    Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    MessageWriter.startup("app", "shop").writeTo(socket.getOutputStream());
                    sendAsOneOfACrowd(socket, kind);
                } catch (IOException e) {
                    StandInThreads.sleep(5);
                }
            }
        });
        return () -> {
            StandInThreads.join(task, TASK_TIMEOUT_MILLIS);
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        };
    }

    private void sendAsOneOfACrowd(Socket socket, int kind) throws IOException {
        MessageWriter messages = new MessageWriter();
        if (kind == 0) {
            for (int i = 0; i < READS_PER_CROWD_CLIENT; i++) {
                messages.append(MessageWriter.query(read("")));
            }
            messages.writeTo(socket.getOutputStream());
        } else if (kind == 1) {
            messages.append(MessageWriter.query(
                    "INSERT INTO items (id, doc) VALUES ('f', '\\x" + "ab".repeat(LARGE_VALUE_HEX / 2)));
            byte[] bytes = new byte[messages.size()];
            messages.asByteBuffer().get(bytes);
            socket.getOutputStream().write(bytes, 0, bytes.length * 9 / 10);
        } else {
            StringBuilder fields = new StringBuilder();
            for (int i = 0; i < MANY_FIELDS; i++) {
                fields.append(",k").append(i).append("=v");
            }
            messages.append(MessageWriter.query(read(fields.toString()))).writeTo(socket.getOutputStream());
        }
    }

    /** Lets clients write hundreds of kilobytes of queries and close their connections soon after. */
    private FaultInjector.ActiveFault leave(SoakRouter router, SplittableRandom random) {
        List<Thread> tasks = new ArrayList<>();
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            SplittableRandom taskRandom = random.split();
            tasks.add(StandInThreads.spawn(
                    () -> fleet.clients().leaveBehindQueries(router, QUERIES_BEFORE_CLOSE, taskRandom)));
        }
        return () -> tasks.forEach(task -> StandInThreads.join(task, TASK_TIMEOUT_MILLIS));
    }
}
