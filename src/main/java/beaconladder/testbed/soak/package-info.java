/**
 * A randomized fault soak: routers as real processes on loopback, between stand-ins for hosts, discovery and clients,
 * under troubles that overlap; judged by what clients and hosts saw and by the routers' own invariants.
 */
package beaconladder.testbed.soak;
