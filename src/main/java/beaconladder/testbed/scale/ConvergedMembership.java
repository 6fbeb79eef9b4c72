package beaconladder.testbed.scale;

import beaconladder.membership.Member;
import beaconladder.membership.Message;
import beaconladder.membership.SwimProtocol;
import java.lang.reflect.Field;
import java.util.List;
import java.util.Map;

/**
 * Brings a member to the state of one that has long known all others. By itself it reaches that state only after it has
 * spread an update about each of them some twenty times; with thousands of members that takes half an hour, too long
 * for a test.
 */
final class ConvergedMembership {
    private static final int UPDATES_PER_MESSAGE = 10;

    private ConvergedMembership() {}

    /** Sends the member updates about all others, in messages as a newcomer receives them. */
    static void addAll(SwimProtocol protocol, Member from, List<Member> all, long now) {
        for (int i = 0; i < all.size(); i += UPDATES_PER_MESSAGE) {
            protocol.receive(
                    new Message(
                            Message.Kind.NACK,
                            from,
                            0,
                            "",
                            all.subList(i, Math.min(all.size(), i + UPDATES_PER_MESSAGE))),
                    now);
        }
    }

    /** Marks all known updates as already spread. */
    static void clearPendingUpdates(SwimProtocol protocol) {
        try {
            Object table = read(protocol, "table");
            Field transmissions = null;
            for (Object entry : ((Map<?, ?>) read(table, "entries")).values()) {
                if (transmissions == null) {
                    transmissions = entry.getClass().getDeclaredField("transmissions");
                    transmissions.setAccessible(true);
                }
                transmissions.setInt(entry, Integer.MAX_VALUE / 2);
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Object read(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }
}
