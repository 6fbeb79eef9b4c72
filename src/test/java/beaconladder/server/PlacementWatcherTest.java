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

/** What a router asks of the keeper and reads in its answer, as literals. */
@Timeout(60)
class PlacementWatcherTest {
    private static final String ANSWER = """
            {"version":7,"until_ms":1234,"basis":"beef","seats":[\
            {"tenant":"t","cell":"a","writes":true,"reads":false,"moving":false,"floors_ms":[]},\
            {"tenant":"u","cell":"b","writes":false,"reads":true,"moving":true,"floors_ms":[3,5]}]}""";

    private static final String PLAN =
            "(cell a (groups 0)) (cell b (groups 1)) (tenant t (cell a)) (tenant u (cell b))";

    private static RequestDispatcher desk() {
        Map<String, String> start = new LinkedHashMap<>(
                Map.of("request_classes.count", "1", "family_info.freshness", "loose", "zones", "east"));
        RequestDispatcher desk = new RequestDispatcher(
                1,
                start,
                new CellAdmission(
                        "n0",
                        new StaticPlacement(PlanReader.read("p", PLAN).plan()),
                        RouterCapacity.ofThreads(8, 8, 1 << 20)));
        desk.setHostActions(new ServerConnectionPool(
                desk,
                start,
                task -> {
                    task.run();
                    return true;
                },
                new MemoryLimit(0),
                new DescriptorLimit(64),
                (address, room) -> {
                    throw new IOException("nobody there");
                }));
        return desk;
    }

    @Test
    void aRouterAsksAndReadsUnderTheseNames() throws Exception {
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        HttpServer keeper = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        keeper.createContext("/", exchange -> {
            asked.add(exchange.getRequestURI().toString());
            byte[] body = ANSWER.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        keeper.start();
        RequestDispatcher desk = desk();
        PlacementWatcher placements = new PlacementWatcher(keeper.getAddress(), 1_000_000_000L, "n0", "r1", desk);
        Thread thread = new Thread(placements, "placements");
        try {
            thread.start();
            assertThat(asked.poll(30, TimeUnit.SECONDS))
                    .isEqualTo("/v1/placement?router=n0&run=r1&version=0&wait=333&busy=");
            assertThat(asked.poll(30, TimeUnit.SECONDS))
                    .isEqualTo("/v1/placement?router=n0&run=r1&version=7&wait=10&busy=u:0");
        } finally {
            placements.stop();
            thread.join();
            keeper.stop(0);
        }
        assertThat(desk.cells().placement())
                .isEqualTo(new PlacementTable(
                        7,
                        1_234_000_000L,
                        "beef",
                        Map.of(
                                "t", new TenantPlacement("a", true, false, false, List.of()),
                                "u", new TenantPlacement("b", false, true, true, List.of(3_000_000L, 5_000_000L)))));
    }
}
