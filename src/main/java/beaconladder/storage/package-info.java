/** Durable local storage: an append-only sequence of records that survives a crash at any time. */
package beaconladder.storage;
