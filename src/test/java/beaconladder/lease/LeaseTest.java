package beaconladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.lease.FencingGuard.Decision;
import beaconladder.lease.LeaseHolderState.Phase;
import beaconladder.lease.LeaseResponse.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Leases with a length of 600 and a clock bound of 50, in an arbitrary unit. */
class LeaseTest {
    private static final long LENGTH = 600;
    private static final long CLOCK_BOUND = 50;

    private LeaseTable leases = LeaseTable.empty();

    @Test
    void holderRenewsInTimeAndStopsByItsOwnClockBeforeAnotherMayStart() {
        LeaseHolderState a = acquire(contending("a#1"), 1_000);
        assertThat(a.phase()).isEqualTo(Phase.HELD);
        assertThat(a.permit().deadlineNanos()).isEqualTo(1_550);
        LeaseHolderState.Step renewal = a.onTime(1_200);
        assertThat(renewal.next().phase()).isEqualTo(Phase.RENEWING);
        a = renewal.next().onResponse(apply(renewal.request(), 1_210), 1_220).next();
        assertThat(a.permit().deadlineNanos()).as("counted from the request").isEqualTo(1_750);
        assertThat(a.mayAct(1_749)).isTrue();
        assertThat(a.mayAct(1_750)).isFalse();
        assertThat(a.onTime(1_750).next().phase())
                .as("requests the lease again at once")
                .isEqualTo(Phase.REQUESTED);
        assertThat(apply(contending("b#1").onTime(1_860).request(), 1_860).availableInNanos())
                .isEqualTo(0);
        assertThat(apply(contending("b#1").onTime(1_861).request(), 1_861)
                        .grant()
                        .token())
                .isEqualTo(2);
    }

    @Test
    void refusedProcessRetriesWhenTheTaskMayBeAvailable() {
        acquire(contending("a#1"), 1_000);
        LeaseHolderState.Step requested = contending("b#1").onTime(1_100);
        LeaseHolderState b = requested
                .next()
                .onResponse(apply(requested.request(), 1_100), 1_100)
                .next();
        assertThat(b.phase()).isEqualTo(Phase.REQUESTED);
        assertThat(b.wakeupNanos()).isEqualTo(1_650);
    }

    @Test
    void releaseFreesTheTaskAtOnceAndSupersedesEarlierRequests() {
        LeaseHolderState a = acquire(contending("a#1"), 1_000);
        LeaseHolderState.Step renewal = a.onTime(1_200);
        LeaseHolderState.Step released = renewal.next().release(1_210);
        assertThat(released.next().mayAct(1_211)).isFalse();
        apply(released.request(), 1_220);
        assertThat(apply(renewal.request(), 1_230).outcome()).isEqualTo(Outcome.SUPERSEDED);
        assertThat(acquire(contending("b#1"), 1_240).permit().token()).isEqualTo(2);
        // Released before its grant was received.
        LeaseHolderState.Step requested = contending("c#1").onTime(2_000);
        apply(requested.request(), 2_000);
        apply(requested.next().release(2_001).request(), 2_010);
        assertThat(acquire(contending("b#1"), 2_020).phase()).isEqualTo(Phase.HELD);
    }

    @Test
    void anotherIncarnationOfTheSameNameIsAnotherHolder() {
        acquire(contending("a#1"), 1_000);
        LeaseHolderState.Step requested = contending("a#2").onTime(1_100);
        assertThat(apply(requested.request(), 1_100).outcome()).isEqualTo(Outcome.HELD);
    }

    @Test
    void clockThatGoesBackEndsTheLease() {
        LeaseHolderState a = acquire(contending("a#1"), 1_000);
        assertThat(a.onTime(1_300).next().mayAct(900)).isFalse();
        assertThat(a.onTime(1_300).next().onTime(900).next().phase()).isEqualTo(Phase.REQUESTED);
    }

    @Test
    void lateResponseToAnAbandonedRequestGrantsNothing() {
        LeaseHolderState.Step first = contending("a#1").onTime(1_000);
        LeaseResponse late = apply(first.request(), 1_010);
        // The first request is half a lease old and is abandoned for a new one; its response arrives after that.
        LeaseHolderState.Step second = first.next().onTime(1_400);
        assertThat(second.next().onResponse(late, 1_410).next().phase()).isEqualTo(Phase.REQUESTED);
        LeaseHolderState a =
                second.next().onResponse(apply(second.request(), 1_420), 1_430).next();
        // The second request carried no token, so the expiry is still that of the first one, and renewal is due soon.
        assertThat(a.permit().deadlineNanos()).isEqualTo(1_560);
        assertThat(a.wakeupNanos()).isEqualTo(1_495);
    }

    @Test
    void handOverReservesTheTaskForItsSuccessorOnly() {
        LeaseHolderState a = acquire(contending("a#1"), 1_000);
        apply(LeaseRequest.handOver("t", "c", LENGTH), 1_050);
        assertThat(apply(contending("b#1").onTime(1_060).request(), 1_060).outcome())
                .isEqualTo(Outcome.HELD);
        LeaseHolderState.Step renewal = a.onTime(1_200);
        LeaseHolderState.Step handedOver = renewal.next().onResponse(apply(renewal.request(), 1_200), 1_210);
        assertThat(handedOver.next().mayAct(1_210)).isFalse();
        assertThat(handedOver.next().wakeupNanos())
                .as("the former holder waits for the successor")
                .isEqualTo(1_910);
        apply(handedOver.request(), 1_220);
        assertThat(apply(contending("b#1").onTime(1_230).request(), 1_230).outcome())
                .isEqualTo(Outcome.HELD);
        assertThat(acquire(contending("c#9"), 1_240).permit().token()).isEqualTo(2);
        // A grant to the successor ended the reservation.
        apply(contending("c#9").want(1_250).release(1_250).request(), 1_250);
        assertThat(acquire(contending("b#1"), 1_260).permit().token()).isEqualTo(3);
    }

    @Test
    void absentSuccessorBlocksTheTaskForOneLeaseOnly() {
        apply(LeaseRequest.handOver("t", "c", LENGTH), 1_000);
        assertThat(apply(contending("b#1").onTime(1_600).request(), 1_600).outcome())
                .isEqualTo(Outcome.HELD);
        assertThat(acquire(contending("b#1"), 1_601).phase()).isEqualTo(Phase.HELD);
    }

    @Test
    void leaderWithAClockBehindDoesNotDecreaseTheTime() {
        acquire(contending("a#1"), 1_000);
        apply(LeaseRequest.handOver("u", "x", 1), 1_700);
        assertThat(apply(contending("b#1").onTime(1_300).request(), 1_300).outcome())
                .isEqualTo(Outcome.GRANTED);
    }

    @Test
    void fencingGuardRejectsLowerTokensAtAnyTimeAndLateOperationsOfTheNewestHolder() {
        List<Decision> decisions = new ArrayList<>();
        FencingGuard guard = FencingGuard.initial();
        // Each operation: its token, its deadline, and the resource's time.
        for (long[] operation :
                new long[][] {{2, 900, 800}, {1, 5_000, 800}, {2, 900, 900}, {3, 900, 899}, {2, 900, 1}}) {
            FencingGuard.Admission admission = guard.admit(operation[0], operation[1], operation[2]);
            guard = admission.next();
            decisions.add(admission.decision());
        }
        assertThat(decisions)
                .containsExactly(
                        Decision.ADMITTED,
                        Decision.STALE_TOKEN,
                        Decision.EXPIRED,
                        Decision.ADMITTED,
                        Decision.STALE_TOKEN);
    }

    private static LeaseHolderState contending(String holder) {
        return LeaseHolderState.initial(new LeaseTerms("t", holder, LENGTH, CLOCK_BOUND))
                .want(0);
    }

    private LeaseResponse apply(LeaseRequest request, long timestamp) {
        LeaseTable.Transition applied = leases.apply(request, timestamp, CLOCK_BOUND);
        leases = applied.next();
        return applied.response();
    }

    private LeaseHolderState acquire(LeaseHolderState holder, long now) {
        LeaseHolderState.Step requested = holder.onTime(now);
        return requested.next().onResponse(apply(requested.request(), now), now).next();
    }
}
