/**
 * The routing policy: which host gets a request, when it is retried, hedged, queued or rejected, and which hosts are
 * probed.
 *
 * <p>All routing decisions are made in this package, single-threaded and without I/O; the entry point is
 * {@link beaconladder.routing.RoutingPolicy}.
 */
package beaconladder.routing;
