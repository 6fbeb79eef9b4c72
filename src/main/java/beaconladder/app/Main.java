package beaconladder.app;

import beaconladder.drill.Drill;
import beaconladder.drill.WireException;
import beaconladder.serve.Serve;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.reflect.Proxy;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;

/** The command line: one subcommand a way of running the router's decisions. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar beaconladder.jar SUBCOMMAND
              drill   make decisions on the simulator's wire, on standard input and output
              serve   be a router on sockets, as the file named by BALANCER_CONFIG states
            """;

    private Main() {
    }

    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "drill" -> drill();
            case "serve" -> serve();
            default -> {
                System.err.print(USAGE);
                System.exit(2);
            }
        }
    }

    private static void drill() {
        try (OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new Drill(new FileInputStream(FileDescriptor.in), out).run();
        } catch (WireException e) {
            fail(e.getMessage());
        } catch (IOException e) {
            fail("the wire is broken: " + e.getMessage());
        }
    }

    private static void serve() {
        // First of all, since the JVM ends on this signal as long as nobody takes it.
        Semaphore hangups = new Semaphore(0);
        takeHangups(hangups);
        String file = System.getenv("BALANCER_CONFIG");
        try {
            if (file == null) {
                throw new IOException("BALANCER_CONFIG names no file");
            }
            Serve router = new Serve(Path.of(file));
            Thread reloads = new Thread(() -> {
                while (true) {
                    hangups.acquireUninterruptibly();
                    hangups.drainPermits();
                    router.reload();
                }
            }, "reloads");
            reloads.setDaemon(true);
            reloads.start();
            router.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    router.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                // The hook runs because of a signal, whose status would else be the program's.
                Runtime.getRuntime().halt(0);
            }));
            Thread.currentThread().join();
        } catch (IOException | InvalidPathException e) {
            fail(e.getMessage());
        } catch (InterruptedException e) {
            fail("interrupted");
        }
    }

    /** By name, as the compiler warns of this class, and there is no other way to take a signal. */
    private static void takeHangups(Semaphore hangups) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object release = Proxy.newProxyInstance(Main.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, args) -> {
                        hangups.release();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), release);
        } catch (ReflectiveOperationException e) {
            System.err.println("beaconladder: this JVM leaves SIGHUP to itself, which ends it: " + e);
        }
    }

    private static void fail(String message) {
        System.err.println("beaconladder: " + message);
        System.exit(1);
    }
}
