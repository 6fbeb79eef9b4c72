package beaconladder.lease;

/**
 * A record that is to be kept with the leases: what a holder writes before it acts, so that the next one goes on from
 * there.
 *
 * @param holder who writes under its lease, or an empty text for an operator's word
 * @param token under which the holder acts; 0 without one
 * @param at how many notes the writer has seen of the task: one that has missed any writes nothing
 * @param fresh whether the notes before it are of no more use
 */
public record FencedRecord(String task, String holder, long token, int at, boolean fresh, String text) {}
