package beaconladder.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A message between two members. Its JSON names are those of the datagrams and stay as they are.
 *
 * @param sender the sending member as it describes itself
 * @param probeNumber the number of the probe this belongs to, counted by the process that started the probe; 0 for none
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
        /** A probe: the receiver acknowledges it. */
        @JsonProperty("PROBE")
        PING,
        /** The acknowledgement of a probe, direct or relayed. */
        @JsonProperty("ANSWER")
        ACK,
        /** Asks the receiver to probe a third member on the sender's behalf. */
        @JsonProperty("PROBE_FOR")
        PING_REQ,
        /** An indirect probe was not acknowledged in time; with probe number 0, a plain carrier of updates. */
        @JsonProperty("NO_ANSWER")
        NACK
    }
}
