/**
 * Who is in the fleet, pure: SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips and
 * Currey, 2018). Messages and the time come in, messages to send go out. docs/members.md tells what was kept and
 * changed.
 */
package beaconladder.membership;
