/**
 * The configuration feed: versions of settings and the plan, from a replicated log through relays to every router.
 *
 * <p>An operator proposes a change with {@link beaconladder.feed.LogClient}; the leader of the lease servers commits it
 * ({@link beaconladder.feed.LogEndpoint}, {@link beaconladder.feed.VersionHistory}). Each
 * {@link beaconladder.feed.Relay} follows the log by long polls and serves routers, whose
 * {@link beaconladder.feed.Subscriber} validates, stores and applies each version, or rejects it, and acknowledges that
 * with its next poll. Relays sum up the acknowledgements for the leader.
 *
 * <p>One thread for each connection and each upstream, blocking, with time-outs. Errors are subclasses of
 * {@link java.io.IOException}: {@link beaconladder.feed.InvalidProposalException},
 * {@link beaconladder.feed.LogUnavailableException}, {@link beaconladder.feed.CorruptStateException},
 * {@link beaconladder.feed.InvalidMessageException}, {@link beaconladder.feed.InvalidStateException}.
 */
package beaconladder.feed;
