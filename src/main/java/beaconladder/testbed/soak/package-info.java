/**
 * A randomized fault soak: routers as real processes on loopback, between stand-ins for hosts, discovery and clients,
 * under faults that overlap; checked by what clients and hosts observed and by the routers' own invariants.
 */
package beaconladder.testbed.soak;
