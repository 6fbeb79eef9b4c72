/**
 * The router's network side: accepts clients, passes their queries to the routing policy, and exchanges them with
 * hosts.
 *
 * <p>Path of a query: {@code ClientServer} reads it on the selector's thread, which gives each client turns and adds
 * the query to the client's {@code PipelineQueue}; what no host has to run is answered there. {@code RequestTask}
 * submits a request on a thread of its own to {@code RequestDispatcher}, which returns commands for the task;
 * {@code HostExchange} carries an attempt out on a connection of {@code ServerConnectionPool} and reports its outcome
 * to {@code AttemptEvents}. Answers are written without waiting; the selector's thread writes what a client could not
 * receive at once.
 *
 * <p>Ownership of state, and the lock that guards it:
 *
 * <ul>
 *   <li>The dispatcher's one lock guards the routing policy and all of its state, {@code PendingActions}, the lines
 *       gathered by {@code EventTrace}, the hosts of {@code EndpointList} (its groups and addresses are concurrent
 *       maps, readable without the lock), the wakeup time of {@code WakeupTimer}, and admission to cells
 *       ({@code CellDispatcher}). No socket is read, written or closed under it: actions on hosts run and trace lines
 *       are logged after its release.
 *   <li>Each {@code InFlightRequest}'s monitor guards the commands to its task. It may be taken under the dispatcher's
 *       lock, never the other way round.
 *   <li>Each {@code HostExchange}'s monitor guards its connection and whether it was cancelled; the connection itself
 *       is read and written by the exchange's thread only, while any thread may close it to cancel.
 *   <li>The monitor of the map in {@code IdleConnections} guards the idle connections; they are closed outside of it.
 *   <li>{@code RouterServer}'s monitor orders the start of listening, a reload and the start of a drain.
 *   <li>Each {@code PipelineQueue}'s monitor guards the client's entries and its {@code ClientMemory}. No other lock is
 *       taken under it but an entry's own.
 *   <li>The selector's thread owns the connection table and registers, reads and removes clients. It takes the
 *       dispatcher's lock only where cells are configured, to see whose connections exceed their quota, and where no
 *       other thread is free for what follows a close.
 *   <li>{@code DescriptorLimit} and {@code ThreadLimit} count descriptors and threads for all of them.
 * </ul>
 *
 * <p>Times are nanoseconds: Unix time of the dispatcher's clock for requests and decisions, {@code System.nanoTime} for
 * exchanges with hosts; {@code RequestDispatcher.toNanoTime} converts.
 */
package beaconladder.server;
