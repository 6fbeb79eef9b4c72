/** Durable local storage: an append-only sequence of records that survives crashes at any time. */
package beaconladder.storage;
