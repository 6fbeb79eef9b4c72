/**
 * The configuration feed: distributes versions of the settings and the plan from a replicated log, through relays, to
 * every router.
 *
 * <p>An operator proposes a change with {@link beaconladder.feed.LogClient}; the leader of the lease servers commits it
 * ({@link beaconladder.feed.LogEndpoint}, {@link beaconladder.feed.VersionHistory}). Each
 * {@link beaconladder.feed.Relay} follows the log by long polls and serves routers, whose
 * {@link beaconladder.feed.Subscriber} validates, stores and applies each version, or rejects it, and acknowledges the
 * outcome with its next poll. Relays summarize the acknowledgements for the leader.
 *
 * <p>Each connection and each upstream has one thread, which uses blocking I/O with timeouts. Errors are subclasses of
 * {@link java.io.IOException}: {@link beaconladder.feed.InvalidProposalException},
 * {@link beaconladder.feed.LogUnavailableException}, {@link beaconladder.feed.CorruptStateException},
 * {@link beaconladder.feed.InvalidMessageException}, {@link beaconladder.feed.InvalidStateException}.
 */
package beaconladder.feed;
