package beaconladder.app;

import beaconladder.server.RequiredThread;
import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/** Takes SIGHUP and runs a task for it, one at a time. */
final class Hangups {
    private final Semaphore permits = new Semaphore(0);

    /** To be made first of all, since the JVM ends on this signal as long as nobody takes it. */
    Hangups() {
        // By name, as the compiler warns of this class, and there is no other way to take a signal.
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object release = Proxy.newProxyInstance(
                    Hangups.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        permits.release();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), release);
            if (before == handler.getField("SIG_IGN").get(null)) {
                // What is ignored at the start (as under nohup) stays so in this JVM, whatever is asked for.
                System.err.println("beaconladder: SIGHUP is ignored since the start of this process:" + " no reload");
            }
        } catch (ReflectiveOperationException e) {
            System.err.println("beaconladder: this JVM leaves SIGHUP to itself, which ends it: " + e);
        }
    }

    /** Runs this from now on, also for a signal that has come already. */
    void run(Runnable reload) throws InterruptedException {
        RequiredThread.start(() -> {
            Thread reloads = new Thread(() -> runAtEachSignal(reload), "reloads");
            reloads.setDaemon(true);
            return reloads;
        });
    }

    private void runAtEachSignal(Runnable reload) {
        while (true) {
            permits.acquireUninterruptibly();
            permits.drainPermits();
            reload.run();
        }
    }
}
