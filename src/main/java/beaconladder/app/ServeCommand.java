package beaconladder.app;

import beaconladder.server.RouterServer;
import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A router on sockets. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Be a router on sockets, as the file named by BALANCER_CONFIG states.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--plan", paramLabel = "FILE", description = "The operators' plan: cells and who lives in them.")
    private Path plan;

    @Option(
            names = "--feed",
            split = ",",
            paramLabel = "NAME=ADDRESS:PORT",
            description = "Relays, all of them: the router takes what they tell of settings and plans.")
    private List<String> relays;

    @Option(
            names = "--feed-store",
            paramLabel = "FOLDER",
            defaultValue = "router-feed",
            description = "Where it keeps what it was told (default: ${DEFAULT-VALUE}).")
    private Path store;

    @Option(names = "--feed-journal", hidden = true)
    private Path journal;

    @Override
    public Integer call() {
        return relays == null
                ? serve(plan)
                : serve(plan, file -> new FeedConfiguredRouter(file, plan, relays, store, journal));
    }

    /** Creates a router that the feed configures. */
    private interface FeedRouterFactory {
        FeedConfiguredRouter create(Path configFile) throws IOException;
    }

    /** Serves until a signal ends it. */
    static int serve(Path plan) {
        return serve(plan, null);
    }

    private static int serve(Path plan, FeedRouterFactory feed) {
        Hangups hangups = new Hangups();
        String file = System.getenv("BALANCER_CONFIG");
        Thread ends = null;
        try {
            if (file == null) {
                throw new IOException("BALANCER_CONFIG names no file");
            }
            FeedConfiguredRouter fed = feed == null ? null : feed.create(Path.of(file));
            RouterServer router = fed == null ? new RouterServer(Path.of(file), plan) : fed.router();
            hangups.run(fed == null ? router::reload : fed::reload);
            ends = new Thread(() -> {
                try {
                    router.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                // The hook runs because of a signal, whose status would else be the program's.
                Runtime.getRuntime().halt(0);
            });
            // Before it listens: from its first client on, an end that is asked for is a drain.
            Runtime.getRuntime().addShutdownHook(ends);
            router.start();
            Thread.currentThread().join();
            return 0;
        } catch (IOException | InvalidPathException e) {
            System.err.println("beaconladder: " + e.getMessage());
        } catch (InterruptedException e) {
            System.err.println("beaconladder: interrupted");
        }
        try {
            if (ends != null) {
                Runtime.getRuntime().removeShutdownHook(ends);
            }
        } catch (IllegalStateException e) {
            // The end was asked for meanwhile, and goes its way.
        }
        return 1;
    }
}
