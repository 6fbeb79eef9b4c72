package beaconladder.server;

import java.io.IOException;

/** Thrown when a client does not read what is written to it. */
final class ClientStalledException extends IOException {
    private static final long serialVersionUID = 1;

    ClientStalledException() {
        super("the client does not read what it is sent");
    }
}
