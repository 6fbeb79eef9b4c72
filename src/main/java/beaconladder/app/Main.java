package beaconladder.app;

import beaconladder.drill.Drill;
import beaconladder.drill.WireException;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** The command line: one subcommand a way of running the router's decisions. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar beaconladder.jar SUBCOMMAND
              drill   make decisions on the simulator's wire, on standard input and output
            """;

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.print(USAGE);
            System.exit(2);
        }
        try (OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new Drill(new FileInputStream(FileDescriptor.in), out).run();
        } catch (WireException e) {
            System.err.println("beaconladder: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("beaconladder: the wire is broken: " + e.getMessage());
            System.exit(1);
        }
    }
}
