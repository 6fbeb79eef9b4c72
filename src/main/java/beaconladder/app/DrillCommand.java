package beaconladder.app;

import beaconladder.simulation.SimulatorSession;
import beaconladder.simulation.WireException;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The decisions on the simulator's wire. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Make decisions on the simulator's wire, on standard input and output.")
final class DrillCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return drill();
    }

    static int drill() {
        try (OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new SimulatorSession(new FileInputStream(FileDescriptor.in), out).run();
            return 0;
        } catch (WireException e) {
            System.err.println("beaconladder: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("beaconladder: the wire is broken: " + e.getMessage());
        }
        return 1;
    }
}
