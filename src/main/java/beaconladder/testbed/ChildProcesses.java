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

/** Starts programs of this project as operators start them; ends only processes that it has started. */
public final class ChildProcesses implements AutoCloseable {
    private static final int END_SECONDS = 20;
    /** The JVM flags of {@code deploy/balancer.toml}. */
    private static final List<String> FLAGS =
            List.of("-XX:-UsePerfData", "-Xmx64m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    /** A program that can be started, restarted and ended; its output is appended to a log file. */
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

        /** Starts a process of the program. */
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

        /** Sets an environment variable, effective at the next start. */
        public void environment(String name, String value) {
            environment.put(name, value);
        }

        /** Replaces the config file, effective at the next start or reload. */
        public void rewrite(String text) throws IOException {
            Files.writeString(Path.of(config), text);
        }

        /** Returns the process id of the process that was started last. */
        public long pid() {
            return process.pid();
        }

        public boolean alive() {
            return process != null && process.isAlive();
        }

        /** Sends SIGKILL and waits for the end of the process. */
        public void kill() {
            process.destroyForcibly();
            process.onExit().join();
        }

        /** Waits for the process to end by itself; returns whether it did within the time. */
        public boolean ended(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        /** Returns the exit status of the ended process. */
        public int exit() {
            return process.exitValue();
        }

        /** Sends SIGTERM and waits for the end; returns the exit status, or -1 if the process is still running. */
        int end() throws InterruptedException {
            process.destroy();
            return process.waitFor(END_SECONDS, TimeUnit.SECONDS) ? process.exitValue() : -1;
        }

        /** Sends a signal, named as for {@code kill}. */
        public void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Returns the text of the log, or of the exception if the log can't be read. */
        public String log() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                return e.toString();
            }
        }
    }

    private final Path folder;
    private final List<Program> programs = new ArrayList<>();

    public ChildProcesses(Path folder) {
        this.folder = folder;
    }

    /** Returns a program that is not yet started; its config may be null. */
    Program program(String name, String config, String... arguments) throws IOException {
        return program(name, config, List.of(), arguments);
    }

    /** Returns a program that is not yet started and whose JVM has additional flags; its config may be null. */
    public Program program(String name, String config, List<String> flags, String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "beaconladder.app.Main"));
        command.addAll(List.of(arguments));
        String configFile = null;
        if (config != null) {
            configFile = folder.resolve(name + ".json").toString();
            Files.writeString(Path.of(configFile), config);
        }
        Program program = new Program(command, configFile, folder.resolve(name + ".log"));
        synchronized (programs) {
            programs.add(program);
        }
        return program;
    }

    /** Returns a loopback port that was free at the time of the call. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() {
        synchronized (programs) {
            for (Program program : programs) {
                if (program.alive()) {
                    program.kill();
                }
            }
        }
    }
}
