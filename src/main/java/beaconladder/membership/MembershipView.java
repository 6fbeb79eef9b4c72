package beaconladder.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One process's view of the fleet. Its JSON names are those of the lease servers' HTTP response and are fixed.
 *
 * @param version a number that increases with each change; local to this process, not comparable with another's
 * @param sinceLastMessageNanos the time since a message from any other process arrived; {@link Long#MAX_VALUE} if none
 *     has
 * @param members the participating members, this process included, ordered by name
 */
public record MembershipView(
        long version,
        @JsonProperty("age") long sinceLastMessageNanos,
        @JsonProperty("present") List<Member> members) {}
