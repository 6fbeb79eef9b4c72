package beaconladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.lease.FencingGuard.Decision;
import beaconladder.lease.LeaseHolderState.Phase;
import beaconladder.lease.LeaseResponse.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Leases of 600 with a clock bound of 50, in whatever unit. */
class LeaseTest {
    private static final long LENGTH = 600;
    private static final long BOUND = 50;

    private LeaseTable leases = LeaseTable.empty();

    @Test
    void holderRenewsInTimeAndStopsByItsOwnClockBeforeAnotherMayStart() {
        LeaseHolderState a = acquire(wanting("a#1"), 1_000);
        assertThat(a.phase()).isEqualTo(Phase.HELD);
        assertThat(a.permit().deadlineNanos()).isEqualTo(1_550);
        LeaseHolderState.Step renewal = a.onTime(1_200);
        assertThat(renewal.next().phase()).isEqualTo(Phase.RENEWING);
        a = renewal.next().onResponse(apply(renewal.request(), 1_210), 1_220).next();
        assertThat(a.permit().deadlineNanos()).as("counted from the request").isEqualTo(1_750);
        assertThat(a.mayAct(1_749)).isTrue();
        assertThat(a.mayAct(1_750)).isFalse();
        assertThat(a.onTime(1_750).next().phase())
                .as("and requests it again at once")
                .isEqualTo(Phase.REQUESTED);
        assertThat(apply(wanting("b#1").onTime(1_860).request(), 1_860).availableInNanos())
                .isEqualTo(0);
        assertThat(apply(wanting("b#1").onTime(1_861).request(), 1_861).grant().token())
                .isEqualTo(2);
    }

    @Test
    void refusedProcessRetriesWhenTheTaskMayBeAvailable() {
        acquire(wanting("a#1"), 1_000);
        LeaseHolderState.Step requested = wanting("b#1").onTime(1_100);
        LeaseHolderState b = requested
                .next()
                .onResponse(apply(requested.request(), 1_100), 1_100)
                .next();
        assertThat(b.phase()).isEqualTo(Phase.REQUESTED);
        assertThat(b.wakeupNanos()).isEqualTo(1_650);
    }

    @Test
    void releaseFreesTheTaskAtOnceAndSupersedesEarlierRequests() {
        LeaseHolderState a = acquire(wanting("a#1"), 1_000);
        LeaseHolderState.Step renewal = a.onTime(1_200);
        LeaseHolderState.Step released = renewal.next().release(1_210);
        assertThat(released.next().mayAct(1_211)).isFalse();
        apply(released.request(), 1_220);
        assertThat(apply(renewal.request(), 1_230).outcome()).isEqualTo(Outcome.SUPERSEDED);
        assertThat(acquire(wanting("b#1"), 1_240).permit().token()).isEqualTo(2);
        // Released before its grant was received.
        LeaseHolderState.Step requested = wanting("c#1").onTime(2_000);
        apply(requested.request(), 2_000);
        apply(requested.next().release(2_001).request(), 2_010);
        assertThat(acquire(wanting("b#1"), 2_020).phase()).isEqualTo(Phase.HELD);
    }

    @Test
    void anotherIncarnationOfTheSameNameIsAnotherHolder() {
        acquire(wanting("a#1"), 1_000);
        LeaseHolderState.Step requested = wanting("a#2").onTime(1_100);
        assertThat(apply(requested.request(), 1_100).outcome()).isEqualTo(Outcome.HELD);
    }

    @Test
    void clockThatGoesBackEndsTheLease() {
        LeaseHolderState a = acquire(wanting("a#1"), 1_000);
        assertThat(a.onTime(1_300).next().mayAct(900)).isFalse();
        assertThat(a.onTime(1_300).next().onTime(900).next().phase()).isEqualTo(Phase.REQUESTED);
    }

    @Test
    void lateResponseToAnAbandonedRequestGrantsNothing() {
        LeaseHolderState.Step first = wanting("a#1").onTime(1_000);
        LeaseResponse late = apply(first.request(), 1_010);
        // The first request is half a lease old and is abandoned for a new one; its response arrives after that.
        LeaseHolderState.Step second = first.next().onTime(1_400);
        assertThat(second.next().onResponse(late, 1_410).next().phase()).isEqualTo(Phase.REQUESTED);
        LeaseHolderState a =
                second.next().onResponse(apply(second.request(), 1_420), 1_430).next();
        // The second request bore no token, so the expiry stays as the first one set it; renewal is due soon.
        assertThat(a.permit().deadlineNanos()).isEqualTo(1_560);
        assertThat(a.wakeupNanos()).isEqualTo(1_495);
    }

    @Test
    void handOverReservesTheTaskForItsSuccessorOnly() {
        LeaseHolderState a = acquire(wanting("a#1"), 1_000);
        apply(LeaseRequest.handOver("t", "c", LENGTH), 1_050);
        assertThat(apply(wanting("b#1").onTime(1_060).request(), 1_060).outcome())
                .isEqualTo(Outcome.HELD);
        LeaseHolderState.Step renewal = a.onTime(1_200);
        LeaseHolderState.Step handedOver = renewal.next().onResponse(apply(renewal.request(), 1_200), 1_210);
        assertThat(handedOver.next().mayAct(1_210)).isFalse();
        assertThat(handedOver.next().wakeupNanos())
                .as("the successor goes first")
                .isEqualTo(1_910);
        apply(handedOver.request(), 1_220);
        assertThat(apply(wanting("b#1").onTime(1_230).request(), 1_230).outcome())
                .isEqualTo(Outcome.HELD);
        assertThat(acquire(wanting("c#9"), 1_240).permit().token()).isEqualTo(2);
        // Once the successor has held it, the reservation is over.
        apply(wanting("c#9").want(1_250).release(1_250).request(), 1_250);
        assertThat(acquire(wanting("b#1"), 1_260).permit().token()).isEqualTo(3);
    }

    @Test
    void absentSuccessorBlocksTheTaskForOneLeaseOnly() {
        apply(LeaseRequest.handOver("t", "c", LENGTH), 1_000);
        assertThat(apply(wanting("b#1").onTime(1_600).request(), 1_600).outcome())
                .isEqualTo(Outcome.HELD);
        assertThat(acquire(wanting("b#1"), 1_601).phase()).isEqualTo(Phase.HELD);
    }

    @Test
    void leaderWithAClockBehindDoesNotTurnTimeBack() {
        acquire(wanting("a#1"), 1_000);
        apply(LeaseRequest.handOver("u", "x", 1), 1_700);
        assertThat(apply(wanting("b#1").onTime(1_300).request(), 1_300).outcome())
                .isEqualTo(Outcome.GRANTED);
    }

    @Test
    void fencingGuardRejectsLowerTokensAtAnyTimeAndLateActsOfTheNewestHolder() {
        List<Decision> decisions = new ArrayList<>();
        FencingGuard guard = FencingGuard.initial();
        for (long[] act : new long[][] {{2, 900, 800}, {1, 5_000, 800}, {2, 900, 900}, {3, 900, 899}, {2, 900, 1}}) {
            FencingGuard.Admission admission = guard.admit(act[0], act[1], act[2]);
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

    private static LeaseHolderState wanting(String holder) {
        return LeaseHolderState.initial(new LeaseTerms("t", holder, LENGTH, BOUND))
                .want(0);
    }

    private LeaseResponse apply(LeaseRequest request, long stamp) {
        LeaseTable.Transition applied = leases.apply(request, stamp, BOUND);
        leases = applied.next();
        return applied.response();
    }

    private LeaseHolderState acquire(LeaseHolderState holder, long now) {
        LeaseHolderState.Step requested = holder.onTime(now);
        return requested.next().onResponse(apply(requested.request(), now), now).next();
    }
}
