package beaconladder.app;

import beaconladder.drill.Drill;
import beaconladder.drill.WireException;
import beaconladder.roster.Json;
import beaconladder.serve.Serve;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

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
        String file = System.getenv("BALANCER_CONFIG");
        try {
            if (file == null) {
                throw new IOException("BALANCER_CONFIG names no file");
            }
            if (!(Json.read(Files.readString(Path.of(file))) instanceof Map<?, ?> stated)) {
                throw new IOException("no JSON object in " + file);
            }
            Serve router = new Serve(stated);
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
        } catch (IOException | Json.Fault | InvalidPathException | NumberFormatException e) {
            fail(e.getMessage());
        } catch (InterruptedException e) {
            fail("interrupted");
        }
    }

    private static void fail(String message) {
        System.err.println("beaconladder: " + message);
        System.exit(1);
    }
}
