/**
 * The coordinator of tenant placement: grants placement leases to routers and carries out migrations between cells. The
 * HTTP endpoint, the loop that records steps and the queries to hosts are separate types; the decisions are in
 * {@link beaconladder.cells}.
 */
package beaconladder.coordinator;
