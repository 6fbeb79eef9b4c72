package beaconladder.closing;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.routing.RoutingPolicy;
import beaconladder.routing.api.Router;
import beaconladder.routing.api.Router.HostReport;
import beaconladder.routing.api.Router.Role;
import beaconladder.routing.api.RoutingDecision;
import beaconladder.routing.state.Group;
import beaconladder.routing.state.Host;
import beaconladder.routing.state.Request;
import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the routing policy with a close: a read that arrives after the close is sent to a replica only if its position
 * is known to be past the close.
 */
class ClosingRouterTest {
    private static final long MS = 1_000_000;
    private static final Instant CLOSE = Instant.parse("2026-12-02T18:00:00Z");
    private static final long CLOSE_NANOS = CLOSE.toEpochMilli() * MS;

    @Test
    void readAfterACloseNeedsAReplicaPastItAndOneBeforeDoesNot() {
        DailyClose day = new DailyClose(
                "day",
                ZoneId.of("UTC"),
                LocalTime.of(18, 0),
                EnumSet.allOf(DayOfWeek.class),
                Set.of(),
                LocalDate.MIN,
                LocalDate.MAX);
        ClosingCalendar calendar = new ClosingCalendar(List.of(day), Duration.ofMillis(20));
        Map<String, String> start = new LinkedHashMap<>(Map.of(
                "request_classes.count",
                "1",
                "request_classes.0.name",
                "any",
                "request_classes.0.effect",
                "pure",
                "request_classes.0.goal_time_us",
                "500000",
                "request_classes.0.give_up_us",
                "2000000",
                "family_info.freshness",
                "loose",
                "zones",
                "east",
                "limits.probes",
                "true"));
        Router router = new ClosingRouter(new RoutingPolicy(1, start), () -> calendar);
        Group group = new Group(0);
        Host primary = new Host(0, group, 0);
        Host replica = new Host(1, group, 0);
        long before = CLOSE_NANOS - 1_000 * MS;
        router.updateHost(primary, true, Host.State.READY, 0, before);
        router.updateHost(replica, false, Host.State.READY, 0, before);
        router.onHealthCheckEnded(primary, Router.Outcome.COMMITTED, new HostReport(Role.PRIMARY, before, 0), before);
        router.onHealthCheckEnded(replica, Router.Outcome.COMMITTED, new HostReport(Role.REPLICA, before, 0), before);

        Request readBeforeClose = read(router, group, 1, before + MS);
        assertThat(sentTo(router.route(readBeforeClose, before + MS))).isSameAs(replica);
        Request readAfterClose = read(router, group, 2, CLOSE_NANOS + MS);
        assertThat(sentTo(router.route(readAfterClose, CLOSE_NANOS + MS))).isNotSameAs(replica);
        assertThat(readAfterClose.minPosition).isEqualTo(CLOSE_NANOS);
        // This read arrived one clock bound before the close by the router's clock, which may be that far behind.
        Request readWithinClockBound = read(router, group, 3, CLOSE_NANOS - 20 * MS);
        router.route(readWithinClockBound, CLOSE_NANOS - 20 * MS);
        assertThat(readWithinClockBound.minPosition).isEqualTo(CLOSE_NANOS);
        long past = CLOSE_NANOS + 5 * MS;
        router.onHealthCheckEnded(replica, Router.Outcome.COMMITTED, new HostReport(Role.REPLICA, past, 0), past + MS);
        Request readAfterReplicaCaughtUp = read(router, group, 4, past + 2 * MS);
        assertThat(sentTo(router.route(readAfterReplicaCaughtUp, past + 2 * MS)))
                .isSameAs(replica);
    }

    private static Request read(Router router, Group group, long id, long arrived) {
        return new Request(
                id,
                router.requestClass(0),
                group,
                0,
                HostReport.NO_POSITION,
                -1,
                false,
                arrived,
                arrived + 2_000 * MS,
                id);
    }

    /** Returns the host of the attempt, or null. */
    private static Host sentTo(RoutingDecision decision) {
        return decision.host();
    }
}
