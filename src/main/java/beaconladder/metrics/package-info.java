/** Counters of what a router did and why, for its log. */
package beaconladder.metrics;
