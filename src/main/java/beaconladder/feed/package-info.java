/**
 * Versioned state for every router: settings and the plan, from the grantors' log by relays to subscribers,
 * acknowledged on the way back. One task for each connection and each peer, blocking, with time-outs.
 */
package beaconladder.feed;
