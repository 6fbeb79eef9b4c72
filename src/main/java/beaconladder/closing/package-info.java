/**
 * What ends at local business close: when the closes are, and what a read that comes after one may still see. Plain
 * functions over plain values; docs/closing.md.
 */
package beaconladder.closing;
