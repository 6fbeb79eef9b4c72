package beaconladder.routing.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WakeupQueueTest {
    private final WakeupQueue agenda = new WakeupQueue();
    private final RequestClass type =
            RequestClass.parse(Map.of("request_classes.count", "1")).get(0);
    private long taken;

    private Request txn(Group group) {
        return new Request(taken, type, group, 0, 0, 0, false, 0, 0, taken++);
    }

    @Test
    void groupsWithQueuedRequestsKeepTheOrderInWhichGroupsWereListed() {
        Group a = new Group(9);
        Group b = new Group(3);
        Group never = new Group(1);
        agenda.registerGroup(b);
        agenda.enqueue(txn(a));
        agenda.enqueue(txn(b));
        agenda.enqueue(txn(never));
        assertThat(agenda.groupsWithQueued()).containsExactly(b);
        agenda.registerGroup(a);
        agenda.registerGroup(b);
        assertThat(agenda.groupsWithQueued()).containsExactly(b, a);
        List.copyOf(b.queued).forEach(agenda::remove);
        assertThat(agenda.groupsWithQueued()).containsExactly(a);
    }

    /** What changed before a look that found nothing on hold there is no reason to look at later requests. */
    @Test
    void aChangeIsForgottenByTheNextLookThoughNothingIsOnHold() {
        Group group = new Group(1);
        agenda.registerGroup(group);
        agenda.markChanged(group);
        assertThat(agenda.takeChanged()).isEmpty();
        agenda.enqueue(txn(group));
        assertThat(agenda.takeChanged()).isEmpty();
        agenda.markChanged(group);
        assertThat(agenda.takeChanged()).containsExactly(group);
        assertThat(agenda.takeChanged()).isEmpty();
    }

    /** The same answers as a walk of all groups at each look, which this stands in for. */
    @Test
    void itNamesWhatAWalkOfAllGroupsWouldName() {
        SplittableRandom chance = new SplittableRandom(1);
        List<Group> groups = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            groups.add(new Group(i));
        }
        Set<Group> listed = new LinkedHashSet<>();
        Set<Group> marked = new LinkedHashSet<>();
        List<Request> held = new ArrayList<>();
        int named = 0;
        for (int i = 0; i < 50_000; i++) {
            Group group = groups.get(chance.nextInt(groups.size()));
            int kind = chance.nextInt(10);
            if (kind == 0) {
                agenda.registerGroup(group);
                listed.add(group);
            } else if (kind < 4 && listed.contains(group)) {
                agenda.markChanged(group);
                marked.add(group);
            } else if (kind < 6) {
                Request request = txn(group);
                agenda.enqueue(request);
                held.add(request);
            } else if (kind < 8 && !held.isEmpty()) {
                agenda.remove(held.remove(chance.nextInt(held.size())));
            } else {
                if (kind == 8 && listed.contains(group)) {
                    // The desk marks a group so, and a look follows at once.
                    group.changed = true;
                    marked.add(group);
                }
                assertThat(agenda.groupsWithQueued())
                        .containsExactlyElementsOf(
                                listed.stream().filter(g -> !g.queued.isEmpty()).toList());
                List<Group> changed = agenda.takeChanged();
                assertThat(changed)
                        .containsExactlyElementsOf(listed.stream()
                                .filter(g -> marked.contains(g) && !g.queued.isEmpty())
                                .toList());
                named += changed.size();
                marked.clear();
            }
        }
        assertThat(named).isGreaterThan(1_000);
    }
}
