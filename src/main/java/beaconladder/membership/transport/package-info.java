/** Members on sockets: datagrams and a clock for {@link beaconladder.members.Swim}, which decides all. */
package beaconladder.membership.transport;
