package beaconladder.testbed.scale;

import beaconladder.membership.Member;
import beaconladder.membership.Message;
import beaconladder.membership.SwimProtocol;
import java.lang.reflect.Field;
import java.util.List;
import java.util.Map;

/**
 * A member that has known all others for long. By itself it comes there only once it has told each of them as news,
 * some twenty times: with thousands that takes half an hour, which a test does not have.
 */
final class ConvergedMembership {
    private static final int NEWS = 10;

    private ConvergedMembership() {}

    /** Tells it of all these, in messages as a newcomer is told. */
    static void introduce(SwimProtocol swim, Member from, List<Member> all, long now) {
        for (int i = 0; i < all.size(); i += NEWS) {
            swim.receive(
                    new Message(Message.Kind.NACK, from, 0, "", all.subList(i, Math.min(all.size(), i + NEWS))), now);
        }
    }

    /** Nothing that it knows is news any more. */
    static void settle(SwimProtocol swim) {
        try {
            Object table = read(swim, "table");
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
