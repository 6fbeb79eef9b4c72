/**
 * The state on which the routing policy decides: hosts, groups, requests, attempts and samples, as one router knows
 * them.
 *
 * <p>Times are nanoseconds on the router's clock, positions nanoseconds on the hosts' clock. Not thread-safe.
 */
package beaconladder.routing.state;
