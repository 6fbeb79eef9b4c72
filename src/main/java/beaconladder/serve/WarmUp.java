package beaconladder.serve;

import beaconladder.api.Router.Outcome;
import beaconladder.api.Router.Role;
import beaconladder.api.Router.Word;
import beaconladder.fleet.Group;
import beaconladder.fleet.Host;
import beaconladder.pg.Outbox;
import beaconladder.pg.Statement;
import beaconladder.roster.Watch;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** Plays txns to a desk that is then thrown away, so that the first clients don't wait for cold code. */
final class WarmUp {
    /** The first txns of a cold router took 15 ms to be placed, the twentieth on 1 ms. */
    private static final int TXNS = 400;
    /** A restart is not to take longer for it than about half of what the JVM takes to start. */
    private static final long LONGEST = 200_000_000;

    private WarmUp() {
    }

    static void run(Map<String, String> start) {
        long until = System.nanoTime() + LONGEST;
        Desk desk = new Desk(1, start);
        desk.errands(new Desk.Errands() {
            @Override
            public void probe(Host host) {
                desk.probed(host, Outcome.COMMITTED, word(desk, host));
            }

            @Override
            public void closeIdle(Host host) {
                // There is none.
            }
        });
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        desk.listed(true, List.of(
                new Watch.Entry("a", nowhere, "", 0, Watch.State.READY, true, 0),
                new Watch.Entry("b", nowhere, "", 0, Watch.State.READY, false, 0),
                new Watch.Entry("c", nowhere, "", 0, Watch.State.READY, false, 0)));
        Group group = desk.group(0);
        int types = Integer.parseInt(start.getOrDefault("request_classes.count", "0"));
        for (int i = 0; types > 0 && i < TXNS && System.nanoTime() < until; i++) {
            Statement statement = Statement.read("SELECT doc FROM items WHERE id = 'k' /* id=1,c=x,t=y,d=900,cluster=0 */");
            long now = desk.now();
            Hand hand = desk.take("1", i % types, group, statement.session(), now - 1_000_000, "", false, now,
                    now + 900_000_000);
            for (Hand.Order order = hand.poll(); order != null; order = hand.poll()) {
                if (order.kind() == Hand.Kind.SEND && desk.stands(order.submission())) {
                    Outbox.query(statement.waiting(800));
                    Word word = word(desk, order.submission().host);
                    desk.ended(order.submission(), Outcome.COMMITTED, word, word,
                            new Outbox().row("doc", new byte[64]).commandComplete("SELECT 1"));
                }
            }
            desk.left(hand);
            desk.release("1");
        }
    }

    private static Word word(Desk desk, Host host) {
        return new Word(host.group.namedByRoster == host ? Role.PRIMARY : Role.REPLICA, desk.now(), 1);
    }
}
