/**
 * The interface between the routing policy and the programs that run it: the real router, the simulation and the test
 * beds.
 */
package beaconladder.routing.api;
