package beaconladder.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** The library that processes are started with so that their system calls can be made to fail. */
public final class FaultShim {
    private static final String SOURCE = "fault_shim.c";
    private final Path library;

    private FaultShim(Path library) {
        this.library = library;
    }

    public Path library() {
        return library;
    }

    /**
     * Builds it with the system's C compiler.
     *
     * @throws IOException where there is no compiler, or the source does not compile here
     */
    public static FaultShim build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        Path library = folder.resolve("fault_shim.so");
        try (InputStream in = FaultShim.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Process compiler = new ProcessBuilder(
                        "cc",
                        "-shared",
                        "-fPIC",
                        "-O2",
                        "-Wall",
                        "-Wextra",
                        "-o",
                        library.toString(),
                        source.toString(),
                        "-ldl")
                .redirectErrorStream(true)
                .start();
        String said = new String(compiler.getInputStream().readAllBytes());
        if (compiler.waitFor() != 0) {
            throw new IOException("the fault shim does not compile: " + said);
        }
        return new FaultShim(library);
    }
}
