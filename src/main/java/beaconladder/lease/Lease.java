package beaconladder.lease;

/**
 * What the grantor remembers of one task; it is never forgotten, as its token must not start anew.
 *
 * @param holder who holds it, or an empty text
 * @param token of the newest grant
 * @param expiry of the newest grant
 * @param gaveUp who gave it up last, and the number of that release
 * @param heir the name of the process that it is kept for, or an empty text, and until when
 */
public record Lease(
        String task,
        String holder,
        long token,
        long expiry,
        String gaveUp,
        long gaveUpNumber,
        String heir,
        long heirUntil) {
    static Lease none(String task) {
        return new Lease(task, "", 0, Long.MIN_VALUE, "", 0, "", Long.MIN_VALUE);
    }

    Lease held(String by, long withToken, long until) {
        return new Lease(
                task,
                by,
                withToken,
                until,
                gaveUp,
                gaveUpNumber,
                LeaseRequest.name(by).equals(heir) ? "" : heir,
                heirUntil);
    }

    Lease free(long number) {
        return new Lease(task, "", token, expiry, holder, number, heir, heirUntil);
    }

    Lease gaveUp(String by, long number) {
        return new Lease(task, holder, token, expiry, by, number, heir, heirUntil);
    }

    Lease keptFor(String name, long until) {
        return new Lease(task, holder, token, expiry, gaveUp, gaveUpNumber, name, until);
    }

    boolean free() {
        return holder.isEmpty();
    }
}
