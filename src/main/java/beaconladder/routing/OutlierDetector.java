package beaconladder.routing;

import static beaconladder.routing.state.TrafficStatistics.MS;

import beaconladder.routing.state.Attempt;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.TrafficStatistics;
import java.util.SplittableRandom;

/** Whether a host is well, as far as this router can tell. */
record OutlierDetector(TrafficStatistics traffic, SplittableRandom chance) {
    /** Reports are up to a quarter second old when they come; what was said before that is history. */
    static final long YOUNG = 300 * MS;
    /** A probe answers within a few milliseconds and a tick; a member that took longer is passed over. */
    static final long MUTE = 40 * MS;

    /** Whether the host told of its load lately. */
    boolean said(Host host, long now) {
        return host.holds >= 0 && now - host.saidAt <= YOUNG;
    }

    /**
     * The chance that this host answers this router in time, by how its submissions of the last twenty seconds ended:
     * it is well and fails as rarely as hosts do that also answer, or, one in five, it is not and fails nine times in
     * ten. Guards against reports that are not true, idle or stuck while the host is slow: what it says loses against
     * what it does. Covers slow, ageing and hung hosts too; where answers are lost all over, hosts that answer fail
     * often as well, and none is set aside for it. Harm: a heavy txn alone at a host counts against it.
     */
    double success(Host host, long now) {
        long since = now - 20_000 * MS;
        int good = (int) host.marks.sumSince(since);
        int bad = host.marks.since(since) - good;
        for (Attempt s : host.out) {
            bad += now - s.sent > s.txn.type.sla() ? 1 : 0;
        }
        double rarely = (1 + traffic.mixed.sumSince(since)) / (10.0 + traffic.mixed.since(since));
        double ill = 0.2 * Math.pow(0.9, bad) * Math.pow(0.1, good);
        double well = 0.8 * Math.pow(rarely, bad) * Math.pow(1 - rarely, good);
        return (0.1 * ill + (1 - rarely) * well) / (ill + well);
    }

    /** Whether the host spoke lately, or answers this router so often that its times tell as much. */
    boolean informed(Host host, long now) {
        return now - host.saidAt <= YOUNG || host.times.since(now - 3_000 * MS) >= 4;
    }

    boolean mute(Host host, long now) {
        return host.probeOut && now - host.probeSent > MUTE;
    }

    /** The usual time of an answer from this host. */
    long usual(Host host) {
        double mean = host.times.size() >= 4 ? host.times.mean() : host.group.times.mean();
        return mean == 0 ? 200 * MS : Math.max(20 * MS, (long) mean);
    }

    /**
     * How much the silence of a host speaks against it: the waiting of all submissions out there since it last spoke,
     * in usual times. Answers that come at random at the usual rate stay silent so long with chance e^-x.
     */
    private double silence(Host host, long now) {
        return (double) host.waited(now) / usual(host);
    }

    /** Chance e^-6 a look: a heavy txn alone at a host is still given six usual times. */
    boolean doubtful(Host host, long now) {
        return silence(host, now) > 6
                || host.ends.size() > 0
                        && host.ends.sumSince(host.lastHeard) == 0
                        && host.ends.since(host.lastHeard) > 0;
    }

    /** A doubtful host gets one txn at a time, drawn from the posterior of its chance of success. */
    boolean trusted(Host host, long now) {
        if (mute(host, now)) {
            return false;
        }
        if (!doubtful(host, now)) {
            return true;
        }
        // Four draws a second at most, so that many held txns don't draw until one wins.
        if (!host.out.isEmpty() || now < host.drawn + 250 * MS) {
            return false;
        }
        host.drawn = now;
        return chance.nextDouble() < success(host, now);
    }

    void learn(Attempt s, long now) {
        if (s.holds >= 0 && s.sent - s.saidAt <= YOUNG) {
            traffic.paces.add(now - s.sent, Math.round(s.holds), now);
        }
    }
}
