/** Counters of a router's events, which it writes to its log. */
package beaconladder.metrics;
