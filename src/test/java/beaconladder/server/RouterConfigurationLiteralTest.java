package beaconladder.server;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.discovery.EndpointWatch;
import beaconladder.discovery.JsonReader;
import beaconladder.routing.state.RequestClass;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads a literal configuration file: each key sets its value. */
class RouterConfigurationLiteralTest {
    private static final String FILE = """
            {"name": "router-2", "listen": "127.0.0.1:6432", "discovery": "10.0.0.9:8500",
             "seed": "ff07843b5d3a91c4", "limits": {"memory_mb": 256, "sockets": 2048},
             "settings": {
               "discovery": "ask",
               "rules": {"drain_grace_us": 3000000, "ask_every_us": 4000000},
               "family_info": {"freshness": ["loose", "recent", "own_writes", "update", "newest"],
                 "oldest_data_us": [0, 70000, 0, 0, 0]},
               "request_classes": [
                 {"name": "browse", "effect": "pure", "give_up_us": 500000, "goal_time_us": 300000,
                  "points": 2.5, "late_share": 0.25},
                 {"name": "stock", "effect": "token", "dedup_scope": "all", "key_ttl_us": 9000},
                 {"name": "basket", "effect": "token", "dedup_scope": "zone"},
                 {"name": "order", "effect": "token", "dedup_scope": "cell"},
                 {"name": "bill", "effect": "once"}],
               "parties": [{"name": "acme"}, {"name": "beta"}]},
             "known": {"servers": [{"id": "s-1", "addr": "10.0.0.4:5432", "zone": "a", "cell": 7,
               "state": "Ready", "started_ms": 12, "role": "leader"}]}}
            """;

    @Test
    void everyKeyOfTheFileIsRead(@TempDir Path folder) throws IOException {
        RouterConfiguration configuration =
                RouterConfiguration.read(Files.writeString(folder.resolve("file.json"), FILE));
        assertThat(configuration.name()).isEqualTo("router-2");
        assertThat(configuration.listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 6432));
        assertThat(configuration.discovery()).isEqualTo(new InetSocketAddress("10.0.0.9", 8500));
        assertThat(configuration.seed()).isEqualTo(0xff07843b5d3a91c4L);
        assertThat(configuration.memoryMb()).isEqualTo(256);
        assertThat(configuration.descriptors()).isEqualTo(2048);
        assertThat(configuration.pollsDiscovery()).isTrue();
        assertThat(configuration.drainGraceMillis()).isEqualTo(3_000);
        assertThat(configuration.pollIntervalMillis()).isEqualTo(4_000);
        assertThat(configuration.knownEndpoints())
                .containsExactly(new EndpointWatch.Entry(
                        "s-1", new InetSocketAddress("10.0.0.4", 5432), "a", 7, EndpointWatch.State.READY, true, 12));
    }

    @Test
    void keysThatAreMissingHaveTheirDefaults() throws Exception {
        RouterConfiguration configuration = RouterConfiguration.of((Map<?, ?>)
                JsonReader.parse("{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"7\"}"));
        assertThat(configuration)
                .isEqualTo(new RouterConfiguration(
                        "null",
                        new InetSocketAddress("127.0.0.1", 1),
                        new InetSocketAddress("127.0.0.1", 2),
                        7,
                        Map.of(),
                        192,
                        1024,
                        List.of()));
        assertThat(configuration.pollsDiscovery()).isFalse();
        assertThat(configuration.drainGraceMillis()).isEqualTo(2_000);
        assertThat(configuration.pollIntervalMillis()).isEqualTo(10_000);
    }

    @Test
    void requestClassesAndTenantsAreIndexedByName() throws Exception {
        SettingIndex index = new SettingIndex(settings());
        assertThat(index.requestClassIndex("browse")).isZero();
        assertThat(index.requestClassIndex("bill")).isEqualTo(4);
        assertThat(index.requestClassIndex("other")).isNull();
        assertThat(index.tenantIndex("beta")).isEqualTo(1);
        assertThat(index.tenantIndex("other")).isEqualTo(-1);
    }

    @Test
    void everyKeyOfARequestClassIsRead() throws Exception {
        List<RequestClass> requestClasses = RequestClass.parse(settings());
        assertThat(requestClasses)
                .extracting(RequestClass::consistency)
                .containsExactly(
                        RequestClass.Consistency.ANY,
                        RequestClass.Consistency.BOUNDED,
                        RequestClass.Consistency.SESSION,
                        RequestClass.Consistency.WRITE,
                        RequestClass.Consistency.CURRENT);
        assertThat(requestClasses)
                .extracting(RequestClass::idempotency)
                .containsExactly(
                        RequestClass.Idempotency.IDEMPOTENT,
                        RequestClass.Idempotency.WITH_KEY,
                        RequestClass.Idempotency.WITH_KEY,
                        RequestClass.Idempotency.WITH_KEY,
                        RequestClass.Idempotency.NON_IDEMPOTENT);
        assertThat(requestClasses.subList(1, 4))
                .extracting(RequestClass::deduplicationScope)
                .containsExactly(
                        RequestClass.DeduplicationScope.ALL,
                        RequestClass.DeduplicationScope.ZONE,
                        RequestClass.DeduplicationScope.GROUP);
        assertThat(requestClasses.get(0).timeoutNanos()).isEqualTo(500_000_000L);
        assertThat(requestClasses.get(0).slaNanos()).isEqualTo(300_000_000L);
        assertThat(requestClasses.get(0).weight()).isEqualTo(2.5);
        assertThat(requestClasses.get(0).lateShare()).isEqualTo(0.25);
        assertThat(requestClasses.get(1).maxStalenessNanos()).isEqualTo(70_000_000L);
        assertThat(requestClasses.get(1).keyTtlNanos()).isEqualTo(9_000_000L);
    }

    private static Map<String, String> settings() throws Exception {
        return RouterConfiguration.of((Map<?, ?>) JsonReader.parse(FILE)).settings();
    }
}
