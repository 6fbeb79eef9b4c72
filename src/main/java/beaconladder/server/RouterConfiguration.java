package beaconladder.server;

import beaconladder.discovery.EndpointWatch;
import beaconladder.discovery.JsonReader;
import beaconladder.routing.RoutingPolicy;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the operators' file states, checked whole before any of it counts.
 *
 * @param start the settings, flat
 * @param descriptors how many may be held
 * @param known the hosts as last listed; it may be out of date, or empty
 */
record RouterConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        Map<String, String> start,
        int memoryMb,
        int descriptors,
        List<EndpointWatch.Entry> known) {
    /** A thousand hosts are a hundred kilobytes; a file beyond this is no configuration. */
    private static final long LONGEST = 4 << 20;

    /** How long after it counts as told a drain may still be unheeded; without a rule on it, two seconds. */
    long drainGraceMillis() {
        return drainGraceMillis(start);
    }

    private static long drainGraceMillis(Map<String, String> start) {
        return Long.parseLong(start.getOrDefault("rules.drain_grace_us", "2000000")) / 1_000;
    }

    /** Whether the list has to be asked for; else an agent on this machine has it. */
    boolean asks() {
        return "ask".equals(start.get("discovery"));
    }

    /** How often the rules want to be asked by who has no watch; without such a rule, each ten seconds. */
    long askEveryMillis() {
        return askEveryMillis(start);
    }

    private static long askEveryMillis(Map<String, String> start) {
        return Long.parseLong(start.getOrDefault("rules.ask_every_us", "10000000")) / 1_000;
    }

    /** Reads the file; what is wrong with it is the message of the exception. */
    static RouterConfiguration read(Path file) throws IOException {
        if (Files.size(file) > LONGEST) {
            throw new IOException(file + " is too long for a configuration");
        }
        try {
            if (!(JsonReader.parse(Files.readString(file)) instanceof Map<?, ?> stated)) {
                throw new IOException("no JSON object in " + file);
            }
            return of(stated);
        } catch (JsonReader.ParseException e) {
            throw new IOException(e.getMessage());
        }
    }

    static RouterConfiguration of(Map<?, ?> stated) throws IOException {
        InetSocketAddress listen = address(stated, "listen");
        InetSocketAddress discovery = address(stated, "discovery");
        Map<String, String> limits = flat(stated, "limits");
        Map<String, String> start = flat(stated, "settings");
        long seed;
        try {
            seed = Long.parseUnsignedLong(String.valueOf(stated.get("seed")), 16);
        } catch (NumberFormatException e) {
            throw new IOException("the seed is no hexadecimal number");
        }
        List<EndpointWatch.Entry> known =
                stated.get("known") instanceof Map<?, ?> list ? EndpointWatch.parseEntries(list) : List.of();
        try {
            new RoutingPolicy(seed, start);
            drainGraceMillis(start);
            askEveryMillis(start);
            return new RouterConfiguration(
                    String.valueOf(stated.get("name")),
                    listen,
                    discovery,
                    seed,
                    start,
                    Integer.parseInt(limits.getOrDefault("memory_mb", "192")),
                    Integer.parseInt(limits.getOrDefault("sockets", "1024")),
                    known);
        } catch (NumberFormatException e) {
            throw new IOException("a number belongs where there is none: " + e.getMessage());
        }
    }

    private static Map<String, String> flat(Map<?, ?> stated, String name) {
        Map<String, String> flat = new LinkedHashMap<>();
        JsonReader.flatten("", stated.get(name) instanceof Map<?, ?> map ? map : Map.of(), flat);
        return flat;
    }

    private static InetSocketAddress address(Map<?, ?> stated, String name) throws IOException {
        InetSocketAddress address = EndpointWatch.parseAddress(String.valueOf(stated.get(name)));
        if (address == null || address.getPort() == 0) {
            throw new IOException("'" + name + "' is no address with a port");
        }
        return address;
    }
}
