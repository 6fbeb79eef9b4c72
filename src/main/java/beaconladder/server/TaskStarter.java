package beaconladder.server;

/** Starts tasks, each on a thread of its own. */
interface TaskStarter {
    /** Starts a task; returns false where no thread is available now, and then the task has not begun. */
    boolean tryExecute(Runnable task);
}
