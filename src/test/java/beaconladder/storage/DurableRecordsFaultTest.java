package beaconladder.storage;

import static org.assertj.core.api.Assertions.assertThat;

import beaconladder.testbed.soak.FaultPlan;
import beaconladder.testbed.soak.FaultPlan.Field;
import beaconladder.testbed.soak.FaultShim;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Injects temporary faults of writes and syncs into a separate process that appends records. */
@Timeout(120)
class DurableRecordsFaultTest {
    private static final int ENOSPC = 28;
    private static final int EIO = 5;

    @TempDir
    Path folder;

    /** Appends the numbers from 0, retries after a failure, and prints each number when it is durable. */
    public static void main(String[] args) throws IOException, InterruptedException {
        try (DurableRecords records = DurableRecords.open(Path.of(args[0]))) {
            for (int i = 0; ; ) {
                try {
                    records.append(String.valueOf(i).getBytes(StandardCharsets.UTF_8));
                    System.out.println("written " + i++);
                } catch (IOException e) {
                    System.out.println("failed " + i);
                }
                Thread.sleep(5);
            }
        }
    }

    @Test
    void writesSucceedAgainAfterTemporaryFaults() throws Exception {
        FaultPlan plan = new FaultPlan(folder.resolve("plan"));
        Path store = Files.createDirectory(folder.resolve("store"));
        Path out = folder.resolve("out");
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        DurableRecordsFaultTest.class.getName(),
                        store.toString())
                .redirectErrorStream(true)
                .redirectOutput(out.toFile());
        builder.environment()
                .put("LD_PRELOAD", FaultShim.build(folder).library().toString());
        builder.environment().put("FAULT_SHIM_PLAN", plan.file().toString());
        builder.environment().put("FAULT_SHIM_FOLDER", store.toString());
        Process process = builder.start();
        try {
            awaitMore(out, "written", 10);
            for (int fault : new int[] {ENOSPC, EIO, 0}) {
                plan.set(Field.FILE_ERRNO, fault);
                plan.set(Field.FILE_SHORT, fault == 0 ? 1 : 0);
                if (fault != 0) {
                    awaitMore(out, "failed", 5);
                }
                Thread.sleep(300);
                plan.clear();
                awaitMore(out, "written", 10);
            }
        } finally {
            process.destroyForcibly().onExit().join();
        }
        List<Integer> written = numbers(Files.readString(out));
        List<Integer> recovered = new ArrayList<>();
        try (DurableRecords records = DurableRecords.open(store)) {
            records.recovered()
                    .forEach(each -> recovered.add(Integer.parseInt(new String(each, StandardCharsets.UTF_8))));
        }
        assertThat(recovered).containsAll(written);
        // A record whose append failed may be stored all the same; the retry then stores it a second time.
        assertThat(recovered).isSorted();
        assertThat(recovered.size() - written.size()).isBetween(0, 20);
    }

    private static List<Integer> numbers(String text) {
        return text.substring(0, text.lastIndexOf('\n') + 1)
                .lines()
                .filter(line -> line.startsWith("written "))
                .map(line -> Integer.parseInt(line.substring("written ".length())))
                .toList();
    }

    private static void awaitMore(Path out, String word, int more) throws IOException {
        long before = count(out, word);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> count(out, word) >= before + more);
    }

    private static long count(Path out, String word) throws IOException {
        return Files.readString(out)
                .lines()
                .filter(line -> line.startsWith(word))
                .count();
    }
}
