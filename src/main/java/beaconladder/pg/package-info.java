/**
 * The part of the PostgreSQL wire protocol (version 3.0) that the router uses: parsing and building messages, a limit
 * on the memory of large messages, and the statements that clients may send.
 */
package beaconladder.pg;
