package beaconladder.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Programs of this project, started as operators start them; only what was started here is ended here. */
public final class ChildProcesses implements AutoCloseable {
    /** As in deploy/balancer.toml. */
    private static final List<String> FLAGS =
            List.of("-XX:-UsePerfData", "-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    /** One of them. */
    public static final class Program {
        private final List<String> command;
        private final String config;
        private final Path log;
        private volatile Process process;
        private final Map<String, String> environment = new ConcurrentHashMap<>();

        private Program(List<String> command, String config, Path log) {
            this.command = command;
            this.config = config;
            this.log = log;
        }

        public void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().putAll(environment);
            if (config != null) {
                builder.environment().put("BALANCER_CONFIG", config);
            }
            process = builder.start();
        }

        /** From its next start on. */
        public void environment(String name, String value) {
            environment.put(name, value);
        }

        /** Its config from the next start or reload on. */
        public void rewrite(String text) throws IOException {
            Files.writeString(Path.of(config), text);
        }

        /** Of the process started last. */
        public long pid() {
            return process.pid();
        }

        public boolean alive() {
            return process != null && process.isAlive();
        }

        /** SIGKILL. */
        public void kill() {
            process.destroyForcibly();
            process.onExit().join();
        }

        /** Whether it ends by itself within so long. */
        public boolean ended(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        /** What it ended with. */
        public int exit() {
            return process.exitValue();
        }

        /** SIGTERM, and the end. */
        int end() throws InterruptedException {
            process.destroy();
            return process.waitFor(20, TimeUnit.SECONDS) ? process.exitValue() : -1;
        }

        public void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        }

        public String log() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                return e.toString();
            }
        }
    }

    private final Path folder;
    private final List<Program> all = new ArrayList<>();

    public ChildProcesses(Path folder) {
        this.folder = folder;
    }

    /** A program that is not yet started; its config may be null. */
    Program program(String name, String config, String... arguments) throws IOException {
        return program(name, config, List.of(), arguments);
    }

    /** One whose JVM gets more flags. */
    public Program program(String name, String config, List<String> flags, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "beaconladder.app.Main"));
        command.addAll(List.of(arguments));
        String file = null;
        if (config != null) {
            file = folder.resolve(name + ".json").toString();
            Files.writeString(Path.of(file), config);
        }
        Program program = new Program(command, file, folder.resolve(name + ".log"));
        synchronized (all) {
            all.add(program);
        }
        return program;
    }

    /** A port that was free a moment ago. */
    public static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    @Override
    public void close() {
        synchronized (all) {
            for (Program program : all) {
                if (program.alive()) {
                    program.kill();
                }
            }
        }
    }
}
