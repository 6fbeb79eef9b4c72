/**
 * The coordinator process for tenant placement: grants placement leases to routers and carries out migrations between
 * cells. It consists of an HTTP server, a loop that records the steps of migrations, and queries to hosts; the
 * decisions are made in {@link beaconladder.cells}.
 */
package beaconladder.coordinator;
