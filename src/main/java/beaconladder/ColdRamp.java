package beaconladder;

import static beaconladder.fleet.Traffic.MS;

import beaconladder.fleet.Group;
import beaconladder.fleet.Host;
import beaconladder.fleet.Samples;
import beaconladder.fleet.Traffic;
import beaconladder.fleet.Txn;
import java.util.SplittableRandom;

/** What a host that has just started may be sent, over all routers. */
record ColdRamp(Traffic traffic, ClusterClock clock, SplittableRandom chance) {
    /**
     * Rule 4: a cold host is sent to on tickets alone. Each txn that comes in for its group draws one with
     * the chance that a warm member bears it, times the host's present share: what a warm member bears is
     * at most what it can, and a cold one can at least its share of that. Over all routers, however many
     * and however uneven, that sums to the host's part, with no router counting the others; a ticket that
     * isn't used within the rule's window lapses, so that waiting txns can't save up for a burst. Guards
     * against any return of hosts, single or of a whole group; harm: a host is kept small for the longest
     * time it may need, and to what warm ones bear where they have room.
     */
    void drawTickets(Group group, long now) {
        for (Host host : group.members) {
            if (host != group.primary && cold(host, now) && host.state == Host.State.READY) {
                draw(host, 1, now);
            }
        }
    }

    /**
     * At a cold primary most tickets of txns that come in would lapse, as a router sees few txns a second and
     * most of those don't need it. So the draw is made by the txns that do, once each, when they first need
     * it, and with the chance raised by how many come in for each of them: over all, the same number of
     * tickets. What waited for a lost primary draws as if all needed it, so that its return meets no burst.
     */
    void drawForPrimary(Txn txn, Host primary, long now) {
        if (txn.drew || !cold(primary, now)) {
            return;
        }
        txn.drew = true;
        Group group = txn.group;
        group.comes.add(1, 0, now);
        long since = now - 10_000 * MS;
        // Where the group has told little, the share of types that need the primary among what comes here.
        double share = (1.0 + traffic.types.stream().filter(type -> type.read().atPrimary())
                .mapToInt(type -> traffic.mix.count(type.place())).sum()) / (1 + traffic.mix.size());
        double needs = group.comes.sumSince(since);
        double comes = group.comes.since(since) - needs;
        draw(primary, txn.arrived > group.foundAt ? Math.max(1, (1 + comes) / (share + needs)) : 1, now);
    }

    /** One draw, where so many txns of the group come in for each that draws. */
    private void draw(Host host, double each, long now) {
        Group group = host.group;
        int ready = group.ready();
        int warm = (int) group.members.stream().filter(h -> h.state == Host.State.READY && !cold(h, now))
                .count();
        // The last ten seconds of the group here, a txn or more a second at a router: what a warm member
        // bore, or where there is none, what members bore on the average. Without such news, all of it.
        long since = now - 10_000 * MS;
        Samples bore = warm > 0 ? group.borneWarm : group.borne;
        double part = (bore.sumSince(since) + 1.0) / (bore.since(since) + 1) / (warm > 0 ? warm : ready);
        double least = traffic.number("rules.cold_share", 0);
        double share = least
                + (1 - least) * Math.max(0, clock.at(now) - host.launched)
                / traffic.micros("rules.warm_within_us");
        // Two fifths of the stated multiple leave room for chance and for tickets of two windows.
        double safe = Math.min(1, 0.4 * traffic.number("rules.fall_multiple", 2));
        if (chance.nextDouble() < each * safe * share * part) {
            host.tickets.addLast(now);
        }
    }

    boolean cold(Host host, long now) {
        return host.launched > 0 && clock.at(now) < host.launched + traffic.micros("rules.warm_within_us");
    }

    boolean allows(Host host, long now) {
        if (!cold(host, now)) {
            return true;
        }
        long window = traffic.micros("rules.fall_us");
        while (!host.tickets.isEmpty() && host.tickets.peekFirst() < now - window) {
            host.tickets.removeFirst();
        }
        return !host.tickets.isEmpty();
    }
}
