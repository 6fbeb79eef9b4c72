package beaconladder.lease;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.lease.LeaseHolderState.State;
import org.junit.jupiter.api.Test;

/** Leases of 600 with a clock bound of 50, in whatever unit. */
class LeaseTest {
    private static final long LENGTH = 600;
    private static final long BOUND = 50;

    private LeaseTable grants = LeaseTable.none();
    private final StringBuilder trace = new StringBuilder();

    @Test
    void aHolderRenewsInTimeAndStopsByItsOwnClockBeforeAnotherMayBegin() {
        LeaseHolderState a = take(tenure("a#1"), 1_000);
        assertThat(a.state()).isEqualTo(State.HELD);
        assertThat(a.until()).isEqualTo(1_550);
        LeaseHolderState.Step renews = a.at(1_200);
        assertThat(renews.next().state()).isEqualTo(State.RENEWING);
        a = renews.next().heard(say(renews.ask(), 1_210), 1_220).next();
        assertThat(a.until()).as("counted from the ask").isEqualTo(1_750);
        assertThat(a.mayAct(1_749)).isTrue();
        assertThat(a.mayAct(1_750)).isFalse();
        assertThat(a.at(1_750).next().state()).as("and asks again at once").isEqualTo(State.ASKED);
        assertThat(say(tenure("b#1").at(1_860).ask(), 1_860).free()).isEqualTo(0);
        assertThat(say(tenure("b#1").at(1_861).ask(), 1_861).grant().token()).isEqualTo(2);
    }

    @Test
    void whoIsRefusedComesBackWhenItMayBeFree() {
        take(tenure("a#1"), 1_000);
        LeaseHolderState.Step asked = tenure("b#1").at(1_100);
        LeaseHolderState b = asked.next().heard(say(asked.ask(), 1_100), 1_100).next();
        assertThat(b.state()).isEqualTo(State.ASKED);
        assertThat(b.wake()).isEqualTo(1_650);
    }

    @Test
    void oneThatGivesUpMakesRoomAtOnceAndItsLateAskIsVoid() {
        LeaseHolderState a = take(tenure("a#1"), 1_000);
        LeaseHolderState.Step renews = a.at(1_200);
        LeaseHolderState.Step gone = renews.next().release(1_210);
        assertThat(gone.next().mayAct(1_211)).isFalse();
        say(gone.ask(), 1_220);
        assertThat(say(renews.ask(), 1_230).why()).isEqualTo(LeaseResponse.Why.OVERTAKEN);
        assertThat(take(tenure("b#1"), 1_240).token()).isEqualTo(2);
        // Given up before its grant was heard of.
        LeaseHolderState.Step asks = tenure("c#1").at(2_000);
        say(asks.ask(), 2_000);
        say(asks.next().release(2_001).ask(), 2_010);
        assertThat(take(tenure("b#1"), 2_020).state()).isEqualTo(State.HELD);
    }

    @Test
    void anotherLifeOfTheSameNameIsAnotherHolder() {
        take(tenure("a#1"), 1_000);
        LeaseHolderState.Step asked = tenure("a#2").at(1_100);
        assertThat(say(asked.ask(), 1_100).why()).isEqualTo(LeaseResponse.Why.HELD);
    }

    @Test
    void aClockThatGoesBackEndsTheLease() {
        LeaseHolderState a = take(tenure("a#1"), 1_000);
        assertThat(a.at(1_300).next().mayAct(900)).isFalse();
        assertThat(a.at(1_300).next().at(900).next().state()).isEqualTo(State.ASKED);
    }

    @Test
    void anAnswerToAnOldAskBringsNoMoreThanItsOwnTime() {
        LeaseHolderState.Step first = tenure("a#1").at(1_000);
        LeaseResponse late = say(first.ask(), 1_010);
        // Its ask is half a lease old and is given up for a new one; what is said to it comes after that.
        LeaseHolderState.Step second = first.next().at(1_400);
        assertThat(second.next().heard(late, 1_410).next().state()).isEqualTo(State.ASKED);
        LeaseHolderState a =
                second.next().heard(say(second.ask(), 1_420), 1_430).next();
        // It has not shown its token, so its expiry stays where the first ask put it; it renews soon.
        assertThat(a.until()).isEqualTo(1_560);
        assertThat(a.wake()).isEqualTo(1_495);
    }

    @Test
    void aHandOverIsKeptForItsHeirAndNobodyElse() {
        LeaseHolderState a = take(tenure("a#1"), 1_000);
        say(LeaseRequest.handOver("t", "c", LENGTH), 1_050);
        assertThat(say(tenure("b#1").at(1_060).ask(), 1_060).why()).isEqualTo(LeaseResponse.Why.HELD);
        LeaseHolderState.Step renews = a.at(1_200);
        LeaseHolderState.Step told = renews.next().heard(say(renews.ask(), 1_200), 1_210);
        assertThat(told.next().mayAct(1_210)).isFalse();
        assertThat(told.next().wake()).as("it lets the heir go first").isEqualTo(1_910);
        say(told.ask(), 1_220);
        assertThat(say(tenure("b#1").at(1_230).ask(), 1_230).why()).isEqualTo(LeaseResponse.Why.HELD);
        assertThat(take(tenure("c#9"), 1_240).token()).isEqualTo(2);
        // Once the heir has had it, it is as free as any other.
        say(tenure("c#9").want(1_250).release(1_250).ask(), 1_250);
        assertThat(take(tenure("b#1"), 1_260).token()).isEqualTo(3);
    }

    @Test
    void anHeirThatNeverComesHoldsUpTheTaskForOneLeaseOnly() {
        say(LeaseRequest.handOver("t", "c", LENGTH), 1_000);
        assertThat(say(tenure("b#1").at(1_600).ask(), 1_600).why()).isEqualTo(LeaseResponse.Why.HELD);
        assertThat(take(tenure("b#1"), 1_601).state()).isEqualTo(State.HELD);
    }

    @Test
    void aLeaderWhoseClockIsBehindTakesNoTimeBack() {
        take(tenure("a#1"), 1_000);
        say(LeaseRequest.handOver("u", "x", 1), 1_700);
        assertThat(say(tenure("b#1").at(1_300).ask(), 1_300).why()).isEqualTo(LeaseResponse.Why.GRANTED);
    }

    @Test
    void theFenceRefusesALowerTokenWhateverTheTimeAndALateActOfTheNewestHolder() {
        FencingGuard fence = FencingGuard.open();
        for (long[] act : new long[][] {{2, 900, 800}, {1, 5_000, 800}, {2, 900, 900}, {3, 900, 899}, {2, 900, 1}}) {
            FencingGuard.Admission admission = fence.admit(act[0], act[1], act[2]);
            fence = admission.next();
            trace.append(admission.verdict()).append(' ');
        }
        assertThat(trace.toString()).isEqualTo("ADMITTED LOWER OVER ADMITTED LOWER ");
    }

    private static LeaseHolderState tenure(String holder) {
        return LeaseHolderState.of("t", holder, LENGTH, BOUND).want(0);
    }

    private LeaseResponse say(LeaseRequest ask, long stamp) {
        LeaseTable.Applied applied = grants.apply(ask, stamp, BOUND);
        grants = applied.next();
        return applied.answer();
    }

    private LeaseHolderState take(LeaseHolderState tenure, long now) {
        LeaseHolderState.Step asked = tenure.at(now);
        return asked.next().heard(say(asked.ask(), now), now).next();
    }
}
