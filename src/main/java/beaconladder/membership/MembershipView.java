package beaconladder.membership;

import java.util.List;

/**
 * The fleet as one process knows it.
 *
 * @param version grows with each change; of this process's own, not to be compared with another's
 * @param age how long ago this process last heard from any other, in nanoseconds; Long.MAX_VALUE for never
 * @param present who takes part, this process too, by name
 */
public record MembershipView(long version, long age, List<Member> present) {}
