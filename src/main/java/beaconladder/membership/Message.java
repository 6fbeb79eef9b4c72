package beaconladder.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A message between two members. Its JSON names are those of the datagrams and are fixed.
 *
 * @param sender the state of the sending member
 * @param probeNumber the number of the probe that the message belongs to, assigned by the process that started the
 *     probe; 0 for none
 * @param target for {@link Kind#PING_REQ}, the name of the member to be probed; otherwise empty
 * @param updates membership updates that are piggybacked on the message, in no particular order
 */
public record Message(
        Kind kind,
        @JsonProperty("from") Member sender,
        @JsonProperty("number") long probeNumber,
        String target,
        @JsonProperty("news") List<Member> updates) {

    /** The message types of SWIM, and Lifeguard's negative acknowledgement. */
    public enum Kind {
        /** A probe, which the receiver acknowledges. */
        @JsonProperty("PROBE")
        PING,
        /** The acknowledgement of a probe, direct or relayed. */
        @JsonProperty("ANSWER")
        ACK,
        /** A request to probe a third member on the sender's behalf. */
        @JsonProperty("PROBE_FOR")
        PING_REQ,
        /** A report that an indirect probe was not acknowledged in time; with probe number 0, only carries updates. */
        @JsonProperty("NO_ANSWER")
        NACK
    }
}
