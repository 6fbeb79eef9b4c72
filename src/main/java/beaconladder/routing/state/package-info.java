/**
 * The state that routing decisions are based on: hosts, groups, requests, attempts and samples, as known to one router.
 *
 * <p>Times are in nanoseconds on the router's clock, positions in nanoseconds on the hosts' clock. Not thread-safe.
 */
package beaconladder.routing.state;
