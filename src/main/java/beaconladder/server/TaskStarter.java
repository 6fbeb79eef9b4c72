package beaconladder.server;

/** Runs tasks on threads of their own. */
interface TaskStarter {
    /** Runs a task; false where no thread can be started for it now, and then it has not begun. */
    boolean tryExecute(Runnable task);
}
