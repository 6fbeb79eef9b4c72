package beaconladder.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** The shared library that is preloaded into processes to inject faults into their system calls. */
public final class FaultShim {
    private static final String SOURCE_FILE = "fault_shim.c";
    private final Path library;

    private FaultShim(Path library) {
        this.library = library;
    }

    /** Returns the path of the built library. */
    public Path library() {
        return library;
    }

    /**
     * Builds the library in the given folder with the system's C compiler.
     *
     * @throws IOException if there is no compiler, or the source does not compile on this system
     */
    public static FaultShim build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE_FILE);
        Path library = folder.resolve("fault_shim.so");
        try (InputStream in = FaultShim.class.getResourceAsStream(SOURCE_FILE)) {
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
        String compilerOutput = new String(compiler.getInputStream().readAllBytes());
        if (compiler.waitFor() != 0) {
            throw new IOException("the fault shim does not compile: " + compilerOutput);
        }
        return new FaultShim(library);
    }
}
