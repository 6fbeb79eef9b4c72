/**
 * The operators' plan of cells, tenants, the coordinator and the lease servers: its syntax, its validation with the
 * position of every error, and the validated {@link beaconladder.plan.Plan}.
 */
package beaconladder.plan;
