package beaconladder;

import beaconladder.api.SendCheck;
import beaconladder.fleet.Host;
import beaconladder.fleet.Submission;
import beaconladder.fleet.Txn;

/**
 * The one guard of each send. Between the decision and the bytes lie a connection (250 ms) or a wait for a descriptor
 * (up to the expiry), so that all that a decision rests on is looked at again.
 */
record SendGuard(RepeatGuard repeats, Targets targets) {
    SendCheck check(Submission attempt, long now) {
        Txn txn = attempt.txn;
        Host host = attempt.host;
        if (txn.ended) {
            return SendCheck.REQUEST_ENDED;
        }
        if (now >= txn.expiry) {
            return SendCheck.EXPIRED;
        }
        if (host.state != Host.State.READY) {
            return SendCheck.HOST_LEAVING;
        }
        if (host.launched != attempt.hostLaunched) {
            return SendCheck.HOST_RESTARTED;
        }
        if (!repeats.allows(txn, attempt, now)) {
            return SendCheck.MAY_HAVE_RUN;
        }
        if (host == host.group.primary) {
            return SendCheck.ALLOWED;
        }
        if (txn.type.read().atPrimary()) {
            return SendCheck.NOT_PRIMARY;
        }
        return host.position >= targets.target(txn, now) ? SendCheck.ALLOWED : SendCheck.POSITION_BEHIND;
    }
}
