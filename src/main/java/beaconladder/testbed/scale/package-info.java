/**
 * Scale tests: what each part of a fleet costs by its size, measured at five sizes or more, as a straight line that
 * must foretell its largest size. docs/CAPACITY.md says what follows from them.
 */
package beaconladder.testbed.scale;
