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
    private final WakeupQueue queue = new WakeupQueue();
    private final RequestClass requestClass =
            RequestClass.parse(Map.of("request_classes.count", "1")).get(0);
    private long requestCount;

    private Request newRequest(Group group) {
        return new Request(requestCount, requestClass, group, 0, 0, 0, false, 0, 0, requestCount++);
    }

    @Test
    void groupsWithQueuedRequestsKeepTheOrderInWhichGroupsWereListed() {
        Group a = new Group(9);
        Group b = new Group(3);
        Group unlisted = new Group(1);
        queue.registerGroup(b);
        queue.enqueue(newRequest(a));
        queue.enqueue(newRequest(b));
        queue.enqueue(newRequest(unlisted));
        assertThat(queue.groupsWithQueued()).containsExactly(b);
        queue.registerGroup(a);
        queue.registerGroup(b);
        assertThat(queue.groupsWithQueued()).containsExactly(b, a);
        List.copyOf(b.queued).forEach(queue::remove);
        assertThat(queue.groupsWithQueued()).containsExactly(a);
    }

    /** A change before a call that found no queued request there is no reason to route later requests. */
    @Test
    void takingTheChangesClearsAChangeOfAGroupWithoutQueuedRequests() {
        Group group = new Group(1);
        queue.registerGroup(group);
        queue.markChanged(group);
        assertThat(queue.takeChanged()).isEmpty();
        queue.enqueue(newRequest(group));
        assertThat(queue.takeChanged()).isEmpty();
        queue.markChanged(group);
        assertThat(queue.takeChanged()).containsExactly(group);
        assertThat(queue.takeChanged()).isEmpty();
    }

    /** The queue returns the same groups as a scan of all groups at each call, which it replaces. */
    @Test
    void changedGroupsAreThoseThatAScanOfAllGroupsWouldFind() {
        SplittableRandom random = new SplittableRandom(1);
        List<Group> groups = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            groups.add(new Group(i));
        }
        Set<Group> listed = new LinkedHashSet<>();
        Set<Group> marked = new LinkedHashSet<>();
        List<Request> queued = new ArrayList<>();
        int changedCount = 0;
        for (int i = 0; i < 50_000; i++) {
            Group group = groups.get(random.nextInt(groups.size()));
            int event = random.nextInt(10);
            if (event == 0) {
                queue.registerGroup(group);
                listed.add(group);
            } else if (event < 4 && listed.contains(group)) {
                queue.markChanged(group);
                marked.add(group);
            } else if (event < 6) {
                Request request = newRequest(group);
                queue.enqueue(request);
                queued.add(request);
            } else if (event < 8 && !queued.isEmpty()) {
                queue.remove(queued.remove(random.nextInt(queued.size())));
            } else {
                if (event == 8 && listed.contains(group)) {
                    // As after a new placement of tenants, which sets the flag directly and processes what is due.
                    group.changed = true;
                    marked.add(group);
                }
                assertThat(queue.groupsWithQueued())
                        .containsExactlyElementsOf(
                                listed.stream().filter(g -> !g.queued.isEmpty()).toList());
                List<Group> changed = queue.takeChanged();
                assertThat(changed)
                        .containsExactlyElementsOf(listed.stream()
                                .filter(g -> marked.contains(g) && !g.queued.isEmpty())
                                .toList());
                changedCount += changed.size();
                marked.clear();
            }
        }
        assertThat(changedCount).isGreaterThan(1_000);
    }
}
