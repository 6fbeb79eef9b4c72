/**
 * Business closes: a calendar of closes at local times, and the minimum position of reads that arrive after a close.
 * All functions are pure. Kept for later stages of the roadmap: only tests use this package so far. docs/closing.md
 * describes the design.
 */
package beaconladder.closing;
