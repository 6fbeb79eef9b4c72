package beaconladder.feed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stands between the grantors' log and its routers: one step from the log, so that no router is over two. */
public final class Relay implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Relay.class);
    /** No poll waits longer, whatever it asks for. */
    private static final long LONGEST_WAIT = 10_000;
    /** Answers kept for who asks since the same version; after a burst there are a few. */
    private static final int MOST_ANSWERS = 32;

    private final VersionNotifier board = new VersionNotifier();
    private final AcknowledgementSummary tally = new AcknowledgementSummary();
    private final LogFollower follower;
    private final RelayServer door;
    /**
     * The bodies of answers as of one newest version, by the version that they go on from. They say that the relay lags
     * by nothing, as it did when the version came; they are used while it knows that to be newest.
     */
    private final Map<Long, byte[]> bodies = new HashMap<>();

    private long bodiesOf = -1;
    private long bases;

    /** What a relay tells of itself. */
    public record Status(
            @JsonProperty(required = true) String relay,
            @JsonProperty(required = true) long version,
            @JsonProperty(required = true) String digest,
            @JsonProperty(required = true) long lagMillis,
            @JsonProperty(required = true) int connections,
            @JsonProperty(required = true) long answers,
            @JsonProperty(value = "bases", required = true) long fullStateAnswers,

            @JsonProperty(value = "refused", required = true)
            long rejectedConnections,

            @JsonProperty(required = true) long bytesIn,
            @JsonProperty(required = true) long bytesOut) {}

    /**
     * One that answers from now on.
     *
     * @param grantors where the log is
     * @param store the folder for its state, or null: then it starts with nothing
     * @param most how many routers it bears
     * @throws IOException where the address is taken or the folder can't be used
     */
    public Relay(String name, InetSocketAddress at, List<InetSocketAddress> grantors, Path store, int most)
            throws IOException {
        StateStore disk = new StateStore(store);
        board.publish(VersionHistory.of(disk.kept().state()));
        follower = new LogFollower(name, grantors, board, tally, disk);
        try {
            door = new RelayServer(at, most, (path, query) -> answer(name, path, query));
        } catch (IOException e) {
            disk.close();
            throw e;
        }
        Thread thread = new Thread(null, follower, "follower", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        LOG.info(
                "relay {} answers at {}, for up to {} routers, from version {}",
                name,
                door.at(),
                most,
                disk.kept().state().version());
    }

    /** Where it answers. */
    public InetSocketAddress address() {
        return door.at();
    }

    private byte[] answer(String name, String path, QueryString query) throws IOException, InterruptedException {
        if (path.equals("/v1/relay")) {
            VersionedState newest = board.current().newest();
            return bytes(FeedJson.text(new Status(
                    name,
                    newest.version(),
                    newest.digest(),
                    follower.lagMillis(),
                    door.connections(),
                    door.answers.get(),
                    bases(),
                    door.refused.get(),
                    door.bytesIn.get(),
                    door.bytesOut.get())));
        }
        if (!path.equals("/v1/feed")) {
            throw new IOException("no such path");
        }
        if (!Proposal.isValidName(query.text("name"))) {
            throw new IOException("name is none");
        }
        long since = query.number("since", Long.MAX_VALUE);
        tally.heard(
                new Acknowledgement(
                        query.text("name"),
                        query.number("life", Long.MAX_VALUE),
                        query.number("force", Long.MAX_VALUE),
                        query.number("refused", Long.MAX_VALUE),
                        query.is("counts")),
                System.nanoTime());
        long wait = query.number("wait", LONGEST_WAIT);
        // Who hears from here that the log is away looks elsewhere, and must not wait for that.
        boolean tells = follower.lagMillis() <= Subscriber.STALE_MILLIS || query.is("patient");
        VersionHistory now = board.awaitNewer(since, tells ? wait : 0);
        return body(now, since, query.is("whole"));
    }

    private byte[] body(VersionHistory now, long since, boolean whole) {
        long newest = now.newest().version();
        long lag = follower.lagMillis();
        if (whole || since >= newest || lag > LogFollower.FRESH_MILLIS) {
            return bytes(FeedJson.text(now.updateSince(since, whole).lagging(lag)));
        }
        synchronized (bodies) {
            if (bodiesOf != newest || bodies.size() >= MOST_ANSWERS) {
                bodies.clear();
                bodiesOf = newest;
            }
            byte[] body = bodies.get(since);
            if (body == null) {
                Update told = now.updateSince(since, false);
                bases += told.base() == null ? 0 : 1;
                body = bytes(FeedJson.text(told));
                bodies.put(since, body);
            }
            return body;
        }
    }

    private long bases() {
        synchronized (bodies) {
            return bases;
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        follower.close();
        door.close();
    }
}
