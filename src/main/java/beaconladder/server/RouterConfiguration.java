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
 * The operators' configuration file, validated completely before any of it takes effect.
 *
 * @param name the router's name, unique among routers
 * @param seed of the routing policy's random draws
 * @param settings the settings, flattened to dotted keys
 * @param memoryMb the memory of this process, from which the thread limit follows
 * @param descriptors how many file descriptors may be held
 * @param knownEndpoints the hosts as last listed; possibly out of date, or empty
 */
record RouterConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        Map<String, String> settings,
        int memoryMb,
        int descriptors,
        List<EndpointWatch.Entry> knownEndpoints) {
    /** Bound of the file's size: a thousand hosts take a hundred kilobytes. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    /** How long after its notice a host may still be sent requests while it drains; two seconds by default. */
    long drainGraceMillis() {
        return drainGraceMillis(settings);
    }

    private static long drainGraceMillis(Map<String, String> settings) {
        return Long.parseLong(settings.getOrDefault("rules.drain_grace_us", "2000000")) / 1_000;
    }

    /** Whether the endpoint list has to be polled; else an agent on this machine pushes it. */
    boolean pollsDiscovery() {
        return "ask".equals(settings.get("discovery"));
    }

    /** The interval of polls for those that can't watch the endpoint list; ten seconds by default. */
    long pollIntervalMillis() {
        return pollIntervalMillis(settings);
    }

    /** The longest time budget of any request class, in microseconds; 0 where there is none. */
    long maxRequestMicros() {
        long max = 0;
        for (int i = 0; settings.containsKey("request_classes." + i + ".give_up_us"); i++) {
            max = Math.max(max, Long.parseLong(settings.get("request_classes." + i + ".give_up_us")));
        }
        return max;
    }

    private static long pollIntervalMillis(Map<String, String> settings) {
        return Long.parseLong(settings.getOrDefault("rules.ask_every_us", "10000000")) / 1_000;
    }

    /** Reads the file; the exception's message states what is wrong with it. */
    static RouterConfiguration read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + " is too long for a configuration");
        }
        try {
            if (!(JsonReader.parse(Files.readString(file)) instanceof Map<?, ?> json)) {
                throw new IOException("no JSON object in " + file);
            }
            return of(json);
        } catch (JsonReader.ParseException e) {
            throw new IOException(e.getMessage());
        }
    }

    /** The configuration that this JSON object states. */
    static RouterConfiguration of(Map<?, ?> json) throws IOException {
        InetSocketAddress listen = address(json, "listen");
        InetSocketAddress discovery = address(json, "discovery");
        Map<String, String> limits = flat(json, "limits");
        Map<String, String> settings = flat(json, "settings");
        long seed;
        try {
            seed = Long.parseUnsignedLong(String.valueOf(json.get("seed")), 16);
        } catch (NumberFormatException e) {
            throw new IOException("the seed is no hexadecimal number");
        }
        List<EndpointWatch.Entry> knownEndpoints =
                json.get("known") instanceof Map<?, ?> list ? EndpointWatch.parseEntries(list) : List.of();
        try {
            new RoutingPolicy(seed, settings);
            drainGraceMillis(settings);
            pollIntervalMillis(settings);
            return new RouterConfiguration(
                    String.valueOf(json.get("name")),
                    listen,
                    discovery,
                    seed,
                    settings,
                    Integer.parseInt(limits.getOrDefault("memory_mb", "192")),
                    Integer.parseInt(limits.getOrDefault("sockets", "1024")),
                    knownEndpoints);
        } catch (NumberFormatException e) {
            throw new IOException("a number belongs where there is none: " + e.getMessage());
        }
    }

    private static Map<String, String> flat(Map<?, ?> json, String name) {
        Map<String, String> flat = new LinkedHashMap<>();
        JsonReader.flatten("", json.get(name) instanceof Map<?, ?> map ? map : Map.of(), flat);
        return flat;
    }

    private static InetSocketAddress address(Map<?, ?> json, String name) throws IOException {
        InetSocketAddress address = EndpointWatch.parseAddress(String.valueOf(json.get(name)));
        if (address == null || address.getPort() == 0) {
            throw new IOException("'" + name + "' is no address with a port");
        }
        return address;
    }
}
