/**
 * Scale experiment: what each part of a fleet costs by its size, measured at five sizes or more and fitted with a
 * straight line that must predict the largest size. docs/CAPACITY.md states the conclusions.
 */
package beaconladder.testbed.scale;
