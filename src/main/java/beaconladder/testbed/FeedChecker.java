package beaconladder.testbed;

import beaconladder.testbed.FeedWriter.Logged;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Judges the feed by what routers wrote when they put a version in force, and by what the log answered. */
final class FeedChecker {
    /** More lines of one kind tell nothing new. */
    private static final int MOST_LINES = 5;

    /** A router put a version in force. */
    record Applied(long at, String router, long life, long version, String digest) {
        /** A line of a journal, or null where it is of another kind or cut off. */
        static Applied of(String line) {
            String[] words = line.split(" ");
            return words.length != 6 || !words[0].equals("A") || words[5].length() != 32
                    ? null
                    : new Applied(
                            Long.parseLong(words[1]),
                            words[2],
                            Long.parseLong(words[3]),
                            Long.parseLong(words[4]),
                            words[5]);
        }
    }

    /** These routers could reach nothing; what was written meanwhile counts from the end of it. */
    record Outage(Predicate<String> routers, long from, long to) {}

    /** What a run came to. */
    record Verdict(List<String> broken, int late, int never) {}

    private final List<String> broken = new ArrayList<>();
    private final Map<String, List<Applied>> byRouter;
    private final List<Logged> log;
    private final List<Outage> outages;
    private int late;
    private int never;

    FeedChecker(List<Logged> log, List<Applied> journal, List<Outage> outages) {
        this.log = log;
        this.outages = outages;
        byRouter = journal.stream()
                .sorted(Comparator.comparingLong(Applied::at))
                .collect(Collectors.groupingBy(Applied::router));
    }

    private void broke(String kind, String line) {
        if (broken.stream().filter(each -> each.startsWith(kind)).count() < MOST_LINES) {
            broken.add(kind + ": " + line);
        }
    }

    /** Versions never go back, and each has the contents that the log has. */
    FeedChecker contents() {
        Map<Long, String> digests = new HashMap<>();
        log.forEach(each -> digests.put(each.version(), each.digest()));
        byRouter.forEach((router, all) -> {
            Applied before = null;
            for (Applied each : all) {
                if (before != null && each.version() < before.version()) {
                    broke("a version went back", each + " after " + before);
                }
                // One that was being written when the rehearsal ended is the first that a router tells of.
                String digest = digests.putIfAbsent(each.version(), each.digest());
                if (digest != null && !digest.equals(each.digest())) {
                    broke("two contents under one version", each + ", elsewhere " + digest);
                }
                before = each;
            }
        });
        return this;
    }

    /**
     * Each version, or a newer one, is in force in time, counted from when the log answered or a first router had it.
     *
     * @param share of the routers, as one in so many, that may take longer than the first bar
     * @param first nanoseconds
     * @param all nanoseconds in which it has to be in force at all of them
     * @param times takes each time
     */
    FeedChecker inForce(
            List<String> routers, int share, long first, long all, LongConsumer times, Predicate<Logged> judged) {
        Map<Long, Long> firsts = new HashMap<>();
        byRouter.values()
                .forEach(each -> each.forEach(applied -> firsts.merge(applied.version(), applied.at(), Math::min)));
        Map<String, Integer> next = new HashMap<>();
        for (Logged version : log) {
            if (!judged.test(version)) {
                continue;
            }
            long from = Math.min(version.at(), firsts.getOrDefault(version.version(), Long.MAX_VALUE));
            int lateNow = 0;
            for (String router : routers) {
                long at = at(router, version.version(), next);
                long nanos = at - reachable(router, from, at, all);
                if (at == Long.MAX_VALUE) {
                    never++;
                    broke("never in force", router + ", version " + version.version());
                    continue;
                }
                times.accept(Math.max(0, nanos));
                lateNow += nanos > first ? 1 : 0;
                if (nanos > all) {
                    broke(
                            "in force too late",
                            router + ", version " + version.version() + " (" + version.phase() + ") after "
                                    + nanos / 1_000_000 + " ms");
                }
            }
            late += lateNow;
            if ((long) lateNow * share > routers.size()) {
                broke(
                        "at too many too late",
                        lateNow + " of " + routers.size() + " had version "
                                + version.version() + " (" + version.phase() + ") after more than "
                                + first / 1_000_000 + " ms");
            }
        }
        return this;
    }

    /** When a router had this version or a newer one, first; the log is walked in order. */
    private long at(String router, long version, Map<String, Integer> next) {
        List<Applied> all = byRouter.getOrDefault(router, List.of());
        int i = next.getOrDefault(router, 0);
        while (i < all.size() && all.get(i).version() < version) {
            i++;
        }
        next.put(router, i);
        return i < all.size() ? all.get(i).at() : Long.MAX_VALUE;
    }

    /** Since when a router that had a version at that time could have had it. */
    private long reachable(String router, long from, long at, long all) {
        long since = from;
        for (Outage outage : outages) {
            boolean during = outage.from() < since + all && outage.to() > since && outage.from() < at;
            if (during && outage.routers().test(router)) {
                since = outage.to();
            }
        }
        return since;
    }

    void fault(String line) {
        broken.add(line);
    }

    Verdict verdict() {
        return new Verdict(List.copyOf(broken), late, never);
    }
}
