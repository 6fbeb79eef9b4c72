/**
 * A randomized fault soak. Real router processes run on loopback between stand-ins for hosts, discovery and clients,
 * under overlapping faults. The rules are checked from what clients and hosts observed, and from the invariant
 * violations that the routers log.
 */
package beaconladder.testbed.soak;
