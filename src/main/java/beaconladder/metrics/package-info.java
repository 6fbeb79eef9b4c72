/** Counters of what a router did and why, told in its log. */
package beaconladder.metrics;
