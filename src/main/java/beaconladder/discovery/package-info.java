/**
 * Service discovery of the database hosts: a watch that fetches the list of endpoints and its changes over HTTP, the
 * schedules of its calls, and the JSON reader that is used for settings, too.
 */
package beaconladder.discovery;
