package beaconladder.serve;

import beaconladder.lab.DiscoveryStandIn;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The program, started by the line that operators use. */
final class Program implements AutoCloseable {
    final Process process;
    final int port;
    private final Path log;
    private final Path file;

    Program(Path folder, String config, int port) throws IOException {
        this(folder, config, port, "");
    }

    /** One whose shell does something first. */
    Program(Path folder, String config, int port, String before) throws IOException {
        this.port = port;
        file = Files.createTempFile(folder, "config", ".json");
        Files.writeString(file, config);
        log = Files.createTempFile(folder, "log", ".txt");
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow().split("\"")[1];
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", before + run).redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        process = builder.start();
    }

    /** Four txn types before one group. */
    static String config(int port, DiscoveryStandIn discovery, int sockets, int memory, String known) {
        String types = Stream.of("any", "fresh", "own", "write").map(name -> """
                {"name":"%s","effect":"%s","goal_time_us":500000,"give_up_us":2000000,"late_share":0.5,\
                "points":1.0}""".formatted(name, name.equals("write") ? "side_effect" : "pure"))
                .collect(Collectors.joining(","));
        return """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1f",
                 "limits":{"sockets":%d,"memory_mb":%d},"known":{"version":1,"full":true,"servers":[%s]},
                 "settings":{"family_info":{"freshness":["loose","recent","own_writes","update"],
                  "oldest_data_us":[0,500000,0,0],"session_marks":"client"},"fees":{"probe":0.069},
                  "limits":{"max_attempts":10,"second_copies":true,"cancel":true,"probes":true,
                   "dial_timeout_us":250000,"conn_idle_us":3000000},
                  "load_report":{"fields":["x0","x1","rif"],"how":"inline"},"parties":[{"name":"acme"}],
                  "round_us":5000,"replicas_of_me":1,"zones":["east","west"],"request_classes":[%s]}}"""
                .formatted(port, discovery.door.getLocalPort(), sockets, memory, known, types);
    }

    void reload(String config) throws IOException, InterruptedException {
        Files.writeString(file, config);
        signal("HUP");
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    int files() {
        return count("fd");
    }

    int threads() {
        return count("task");
    }

    private int count(String what) {
        try (var all = Files.list(Path.of("/proc", String.valueOf(process.pid()), what))) {
            return (int) all.count();
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
