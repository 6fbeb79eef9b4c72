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

/** Checks the feed from the journals of the versions that routers applied, and from what the log committed. */
final class FeedChecker {
    /** Further violations of one kind give no new information. */
    private static final int MAX_LINES_PER_KIND = 5;

    /** A router put a version in force; the time is in Unix nanoseconds. */
    record Applied(long atNanos, String router, long incarnation, long version, String digest) {
        /** Parses a line of a journal; null if it is of another kind or truncated. */
        static Applied parse(String line) {
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

    /** These routers were partitioned; times of versions committed meanwhile count from its end. Unix nanoseconds. */
    record Outage(Predicate<String> routers, long startNanos, long endNanos) {}

    /** The result of a run: violations of the rules, and how often a version was late or never in force at a router. */
    record Verdict(List<String> violations, int late, int never) {}

    private final List<String> violations = new ArrayList<>();
    private final Map<String, List<Applied>> byRouter;
    private final List<Logged> log;
    private final List<Outage> outages;
    private int late;
    private int never;

    FeedChecker(List<Logged> log, List<Applied> journal, List<Outage> outages) {
        this.log = log;
        this.outages = outages;
        byRouter = journal.stream()
                .sorted(Comparator.comparingLong(Applied::atNanos))
                .collect(Collectors.groupingBy(Applied::router));
    }

    private void addViolation(String kind, String line) {
        if (violations.stream().filter(each -> each.startsWith(kind)).count() < MAX_LINES_PER_KIND) {
            violations.add(kind + ": " + line);
        }
    }

    /** Checks that no router reverts to an older version, and that each version has the contents of the log. */
    FeedChecker checkContents() {
        Map<Long, String> digests = new HashMap<>();
        log.forEach(each -> digests.put(each.version(), each.digest()));
        byRouter.forEach((router, all) -> {
            Applied before = null;
            for (Applied each : all) {
                if (before != null && each.version() < before.version()) {
                    addViolation("a version went back", each + " after " + before);
                }
                // A version that was being committed when the scenario ended may appear in the journals only.
                String digest = digests.putIfAbsent(each.version(), each.digest());
                if (digest != null && !digest.equals(each.digest())) {
                    addViolation("two contents under one version", each + ", elsewhere " + digest);
                }
                before = each;
            }
        });
        return this;
    }

    /**
     * Checks that each version, or a newer one, is in force in time, counted from when the log confirmed it or the
     * first router applied it.
     *
     * @param share of the routers, as one in so many, that may take longer than {@code firstNanos}
     * @param firstNanos in which it has to be in force at the others
     * @param allNanos in which it has to be in force at all of them
     * @param times receives each time, in nanoseconds
     */
    FeedChecker checkTimes(
            List<String> routers,
            int share,
            long firstNanos,
            long allNanos,
            LongConsumer times,
            Predicate<Logged> included) {
        Map<Long, Long> firsts = new HashMap<>();
        byRouter.values()
                .forEach(
                        each -> each.forEach(applied -> firsts.merge(applied.version(), applied.atNanos(), Math::min)));
        Map<String, Integer> next = new HashMap<>();
        for (Logged version : log) {
            if (!included.test(version)) {
                continue;
            }
            long fromNanos =
                    Math.min(version.committedAtNanos(), firsts.getOrDefault(version.version(), Long.MAX_VALUE));
            int lateRouters = 0;
            for (String router : routers) {
                long atNanos = appliedAt(router, version.version(), next);
                long nanos = atNanos - reachableSince(router, fromNanos, atNanos, allNanos);
                if (atNanos == Long.MAX_VALUE) {
                    never++;
                    addViolation("never in force", router + ", version " + version.version());
                    continue;
                }
                times.accept(Math.max(0, nanos));
                lateRouters += nanos > firstNanos ? 1 : 0;
                if (nanos > allNanos) {
                    addViolation(
                            "in force too late",
                            router + ", version " + version.version() + " (" + version.phase() + ") after "
                                    + nanos / 1_000_000 + " ms");
                }
            }
            late += lateRouters;
            if ((long) lateRouters * share > routers.size()) {
                addViolation(
                        "at too many too late",
                        lateRouters + " of " + routers.size() + " had version "
                                + version.version() + " (" + version.phase() + ") after more than "
                                + firstNanos / 1_000_000 + " ms");
            }
        }
        return this;
    }

    /** When a router first applied this version or a newer one; versions have to be passed in order. */
    private long appliedAt(String router, long version, Map<String, Integer> next) {
        List<Applied> all = byRouter.getOrDefault(router, List.of());
        int i = next.getOrDefault(router, 0);
        while (i < all.size() && all.get(i).version() < version) {
            i++;
        }
        next.put(router, i);
        return i < all.size() ? all.get(i).atNanos() : Long.MAX_VALUE;
    }

    /** From when on a router could have applied a version, given when it did. */
    private long reachableSince(String router, long fromNanos, long atNanos, long allNanos) {
        long sinceNanos = fromNanos;
        for (Outage outage : outages) {
            boolean during = outage.startNanos() < sinceNanos + allNanos
                    && outage.endNanos() > sinceNanos
                    && outage.startNanos() < atNanos;
            if (during && outage.routers().test(router)) {
                sinceNanos = outage.endNanos();
            }
        }
        return sinceNanos;
    }

    void addFault(String line) {
        violations.add(line);
    }

    Verdict verdict() {
        return new Verdict(List.copyOf(violations), late, never);
    }
}
