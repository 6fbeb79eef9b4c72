package beaconladder.server;

import beaconladder.discovery.EndpointWatch;
import beaconladder.routing.api.Router;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The hosts that discovery lists, by id. Guarded by the dispatcher's lock, except for groups and addresses. */
final class EndpointList {
    private final Router router;
    private final EventTrace trace;
    private final List<String> zones;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Hosts that are gone and not yet removed, kept apart so that a sweep need not visit the complete list. */
    private final Map<String, Host> goneHosts = new LinkedHashMap<>();

    private final Map<Integer, Group> groups = new ConcurrentHashMap<>();
    private final Map<Host, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    /** The number for the next host; numbers are never reused. */
    private int nextHostNumber;

    EndpointList(Router router, EventTrace trace, String zones) {
        this.router = router;
        this.trace = trace;
        this.zones = Arrays.asList(zones.split(","));
    }

    Group group(int number) {
        return groups.get(number);
    }

    InetSocketAddress address(Host host) {
        return addresses.get(host);
    }

    boolean isEmpty() {
        return addresses.isEmpty();
    }

    /** Returns the number of entries in all collections, to detect leaks. */
    int trackedCount() {
        return hosts.size()
                + goneHosts.size()
                + addresses.size()
                + groups.values().stream()
                        .mapToInt(group -> group.members.size())
                        .sum();
    }

    /**
     * Applies an update from discovery; returns the hosts whose idle connections can't be used any more.
     *
     * @param complete whether hosts that are not among the entries are gone
     */
    List<Host> update(boolean complete, List<EndpointWatch.Entry> entries, long now) {
        List<Host> stale = new ArrayList<>();
        Set<Host> present = new HashSet<>();
        for (EndpointWatch.Entry entry : entries) {
            if (entry.state() == EndpointWatch.State.GONE && !hosts.containsKey(entry.id())) {
                continue;
            }
            Group group = groups.computeIfAbsent(entry.group(), Group::new);
            Host host = hosts.computeIfAbsent(
                    entry.id(), id -> new Host(nextHostNumber++, group, zones.indexOf(entry.zone())));
            present.add(host);
            trace.hostNamed(host, entry.id());
            trace.hostListed(host, entry.state().name(), entry.leader(), entry.launchedMillis());
            if (entry.address() != null) {
                InetSocketAddress previous = addresses.put(host, entry.address());
                if (previous != null && !previous.equals(entry.address())) {
                    stale.add(host);
                }
            }
            Host.State state = switch (entry.state()) {
                case READY -> Host.State.READY;
                case DRAINING -> Host.State.DRAINING;
                case GONE -> Host.State.GONE;
            };
            if (state != Host.State.READY || entry.launchedMillis() * 1_000_000 > host.launchedNanos) {
                stale.add(host);
            }
            if (state == Host.State.GONE) {
                goneHosts.put(entry.id(), host);
            }
            router.updateHost(host, entry.leader(), state, entry.launchedMillis() * 1_000_000, now);
        }
        if (complete) {
            hosts.forEach((id, host) -> {
                if (!present.contains(host) && host.state != Host.State.GONE) {
                    goneHosts.put(id, host);
                    router.updateHost(host, false, Host.State.GONE, host.launchedNanos, now);
                    stale.add(host);
                }
            });
        }
        return stale;
    }

    /** Removes the hosts that are gone and that no request needs any more. */
    void sweep(long now) {
        goneHosts.entrySet().removeIf(each -> {
            Host host = each.getValue();
            if (host.state != Host.State.GONE) {
                // Discovery lists the host again.
                return true;
            }
            if (!router.removeHost(host, now)) {
                return false;
            }
            hosts.remove(each.getKey());
            addresses.remove(host);
            return true;
        });
    }
}
