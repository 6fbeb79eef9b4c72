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
 * @param listen the address at which clients connect
 * @param discovery the address of the discovery agent
 * @param seed the seed of the routing policy's random decisions
 * @param settings the settings, flattened to dotted keys
 * @param memoryMb the memory of this process in MB, from which the thread limit is derived
 * @param descriptors the number of file descriptors that the process may use
 * @param knownEndpoints the last known endpoint list; possibly out of date, or empty
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
    /** Upper bound of the file's size; a thousand hosts take a hundred kilobytes. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    /** Returns how long a draining host may still be sent requests after its notice; two seconds by default. */
    long drainGraceMillis() {
        return drainGraceMillis(settings);
    }

    private static long drainGraceMillis(Map<String, String> settings) {
        return Long.parseLong(settings.getOrDefault("rules.drain_grace_us", "2000000")) / 1_000;
    }

    /** Whether the endpoint list has to be polled; otherwise an agent on this machine pushes it. */
    boolean pollsDiscovery() {
        return "ask".equals(settings.get("discovery"));
    }

    /** Returns the polling interval of routers that can't watch the endpoint list; ten seconds by default. */
    long pollIntervalMillis() {
        return pollIntervalMillis(settings);
    }

    /** Returns the longest time budget of any request class in microseconds, or 0 if there are no request classes. */
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

    /**
     * Reads and validates a file.
     *
     * @throws IOException if the file can't be read or is invalid; the message states why
     */
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

    /** Returns the configuration that a JSON object contains. */
    static RouterConfiguration of(Map<?, ?> json) throws IOException {
        InetSocketAddress listen = address(json, "listen");
        InetSocketAddress discovery = address(json, "discovery");
        Map<String, String> limits = flatten(json, "limits");
        Map<String, String> settings = flatten(json, "settings");
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

    private static Map<String, String> flatten(Map<?, ?> json, String name) {
        Map<String, String> flattened = new LinkedHashMap<>();
        JsonReader.flatten("", json.get(name) instanceof Map<?, ?> map ? map : Map.of(), flattened);
        return flattened;
    }

    private static InetSocketAddress address(Map<?, ?> json, String name) throws IOException {
        InetSocketAddress address = EndpointWatch.parseAddress(String.valueOf(json.get(name)));
        if (address == null || address.getPort() == 0) {
            throw new IOException("'" + name + "' is no address with a port");
        }
        return address;
    }
}
