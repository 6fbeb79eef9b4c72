/**
 * Fleet membership, without sockets or clocks: SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's refinements
 * (Dadgar, Phillips and Currey, 2018). {@link beaconladder.membership.SwimProtocol} takes messages and the time and
 * returns messages to send; it combines the failure detector, the dissemination of updates, the member table and the
 * recovery from partitions. docs/members.md describes the differences from the papers.
 */
package beaconladder.membership;
