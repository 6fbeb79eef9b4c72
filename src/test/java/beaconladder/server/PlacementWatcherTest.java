package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.cells.CellAdmission;
import beaconladder.cells.PlacementTable;
import beaconladder.cells.RouterCapacity;
import beaconladder.cells.StaticPlacement;
import beaconladder.cells.TenantPlacement;
import beaconladder.pg.MemoryLimit;
import beaconladder.plan.PlanReader;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The request that a router sends to the coordinator for its placement, and the response, as literals on the wire. */
@Timeout(60)
class PlacementWatcherTest {
    private static final String RESPONSE = """
            {"version":7,"until_ms":1234,"basis":"beef","seats":[\
            {"tenant":"t","cell":"a","writes":true,"reads":false,"moving":false,"floors_ms":[]},\
            {"tenant":"u","cell":"b","writes":false,"reads":true,"moving":true,"floors_ms":[3,5]}]}""";

    private static final String PLAN =
            "(cell a (groups 0)) (cell b (groups 1)) (tenant t (cell a)) (tenant u (cell b))";

    private static RequestDispatcher dispatcher() {
        Map<String, String> settings = new LinkedHashMap<>(
                Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east"));
        RequestDispatcher dispatcher = new RequestDispatcher(
                1,
                settings,
                new CellAdmission(
                        "n0",
                        new StaticPlacement(PlanReader.read("p", PLAN).plan()),
                        RouterCapacity.ofThreads(8, 8, 1 << 20)));
        dispatcher.setHostActions(new ServerConnectionPool(
                dispatcher,
                settings,
                task -> {
                    task.run();
                    return true;
                },
                new MemoryLimit(0),
                new DescriptorLimit(64),
                (address, memory) -> {
                    throw new IOException("no host at this address");
                }));
        return dispatcher;
    }

    @Test
    void requestAndResponseUseTheNamesOfTheWireFormat() throws Exception {
        BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        HttpServer coordinator = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        coordinator.createContext("/", exchange -> {
            requests.add(exchange.getRequestURI().toString());
            byte[] body = RESPONSE.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        coordinator.start();
        RequestDispatcher dispatcher = dispatcher();
        PlacementWatcher watcher =
                new PlacementWatcher(coordinator.getAddress(), 1_000_000_000L, "n0", "r1", dispatcher);
        Thread thread = new Thread(watcher, "placement-watcher");
        try {
            thread.start();
            assertThat(requests.poll(30, TimeUnit.SECONDS))
                    .isEqualTo("/v1/placement?router=n0&run=r1&version=0&wait=333&busy=");
            assertThat(requests.poll(30, TimeUnit.SECONDS))
                    .isEqualTo("/v1/placement?router=n0&run=r1&version=7&wait=10&busy=u:0");
        } finally {
            watcher.stop();
            thread.join();
            coordinator.stop(0);
        }
        assertThat(dispatcher.cells().placement())
                .isEqualTo(new PlacementTable(
                        7,
                        1_234_000_000L,
                        "beef",
                        Map.of(
                                "t", new TenantPlacement("a", true, false, false, List.of()),
                                "u", new TenantPlacement("b", false, true, true, List.of(3_000_000L, 5_000_000L)))));
    }
}
