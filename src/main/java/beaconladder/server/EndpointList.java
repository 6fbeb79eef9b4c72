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

/** The hosts as discovery lists them, by its ids; guarded by the dispatcher's lock except for groups and addresses. */
final class EndpointList {
    private final Router router;
    private final EventTrace trace;
    private final List<String> zones;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Hosts that are gone and not yet forgotten, so that a sweep does not walk the complete list. */
    private final Map<String, Host> departed = new LinkedHashMap<>();

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

    /** How many entries it holds, to detect leaks. */
    int trackedCount() {
        return hosts.size()
                + departed.size()
                + addresses.size()
                + groups.values().stream()
                        .mapToInt(group -> group.members.size())
                        .sum();
    }

    /** Discovery's news; returns the hosts whose idle connections are of no use any more. */
    List<Host> listed(boolean whole, List<EndpointWatch.Entry> entries, long now) {
        List<Host> stale = new ArrayList<>();
        Set<Host> present = new HashSet<>();
        for (EndpointWatch.Entry e : entries) {
            if (e.state() == EndpointWatch.State.GONE && !hosts.containsKey(e.id())) {
                continue;
            }
            Group group = groups.computeIfAbsent(e.group(), Group::new);
            Host host = hosts.computeIfAbsent(e.id(), id -> new Host(nextHostNumber++, group, zones.indexOf(e.zone())));
            present.add(host);
            trace.hostNamed(host, e.id());
            trace.hostListed(host, e.state().name(), e.leader(), e.launchedMillis());
            if (e.address() != null) {
                InetSocketAddress before = addresses.put(host, e.address());
                if (before != null && !before.equals(e.address())) {
                    stale.add(host);
                }
            }
            Host.State state = switch (e.state()) {
                case READY -> Host.State.READY;
                case DRAINING -> Host.State.DRAINING;
                case GONE -> Host.State.GONE;
            };
            if (state != Host.State.READY || e.launchedMillis() * 1_000_000 > host.launchedNanos) {
                stale.add(host);
            }
            if (state == Host.State.GONE) {
                departed.put(e.id(), host);
            }
            router.updateHost(host, e.leader(), state, e.launchedMillis() * 1_000_000, now);
        }
        if (whole) {
            hosts.forEach((id, host) -> {
                if (!present.contains(host) && host.state != Host.State.GONE) {
                    departed.put(id, host);
                    router.updateHost(host, false, Host.State.GONE, host.launchedNanos, now);
                    stale.add(host);
                }
            });
        }
        return stale;
    }

    /** Forgets the hosts that are gone and that no request needs any more. */
    void sweep(long now) {
        departed.entrySet().removeIf(each -> {
            Host host = each.getValue();
            if (host.state != Host.State.GONE) {
                // It is listed again.
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
