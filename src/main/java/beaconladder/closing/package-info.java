/**
 * What ends at local business close: when the closes are, and which data a read that arrives after one may see. Pure
 * functions over plain values. Kept for the next stages of the plan; nothing outside of its tests uses it yet.
 * docs/closing.md.
 */
package beaconladder.closing;
