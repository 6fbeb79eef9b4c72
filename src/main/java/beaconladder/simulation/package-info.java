/**
 * The routing policy on the simulator's wire: batches of events in, batches of actions out, big-endian, all instances
 * of a fleet in one process. Nothing here decides anything.
 */
package beaconladder.simulation;
