/**
 * Service discovery of the database hosts: a watch that fetches the endpoint list and its changes over HTTP, the
 * schedules of its calls, and the JSON reader, which also reads configuration files.
 */
package beaconladder.discovery;
