package beaconladder.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class DurableRecordsTest {
    @TempDir
    Path folder;

    /** Runs the process that the test kills: appends records, and prints the number of each when it is durable. */
    public static void main(String[] args) throws IOException {
        try (DurableRecords records = DurableRecords.open(Path.of(args[0]))) {
            for (int i = records.recovered().size(); ; i++) {
                if (i % 25 == 24) {
                    List<byte[]> all = new ArrayList<>();
                    for (int n = 0; n <= i; n++) {
                        all.add(text(n));
                    }
                    records.replace(all);
                } else {
                    records.append(text(i));
                }
                System.out.println(i);
            }
        }
    }

    private static byte[] text(int i) {
        return ("record " + i + "x".repeat(i * 37 % 700)).getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void appendedRecordsSurviveAKillAtAnyTime() throws Exception {
        int before = 0;
        Path out = folder.resolve("out");
        for (int round = 0; round < 8; round++) {
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            DurableRecordsTest.class.getName(),
                            folder.toString())
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .redirectOutput(out.toFile())
                    .start();
            while (lastPrinted(out) < before + 3 + 5 * round) {
                Thread.sleep(1);
            }
            Thread.sleep(round);
            process.destroyForcibly().onExit().join();
            int lastPrinted = lastPrinted(out);
            try (DurableRecords records = DurableRecords.open(folder)) {
                before = records.recovered().size();
                assertThat(before).isBetween(lastPrinted + 1, lastPrinted + 2);
                for (int i = 0; i < before; i++) {
                    assertThat(records.recovered().get(i)).isEqualTo(text(i));
                }
            }
        }
    }

    /** Returns the last complete number in the file, or -1. */
    private static int lastPrinted(Path out) throws IOException {
        String text = Files.readString(out);
        String[] lines = text.substring(0, text.lastIndexOf('\n') + 1).split("\n");
        return lines[lines.length - 1].isEmpty() ? -1 : Integer.parseInt(lines[lines.length - 1]);
    }

    /** Simulates a write that stops at any byte: the file has the new bytes up to there, then the old ones. */
    @Test
    void tornWriteLosesNoEarlierRecord() throws Exception {
        List<byte[]> images = new ArrayList<>();
        try (DurableRecords records = DurableRecords.open(folder)) {
            for (int i = 0; i < 24; i++) {
                records.append(text(i));
                images.add(Files.readAllBytes(folder.resolve("records.mv")));
            }
        }
        Path torn = folder.resolve("torn");
        Files.createDirectories(torn);
        for (int i = 1; i < images.size(); i += 2) {
            byte[] before = images.get(i - 1);
            byte[] after = images.get(i);
            for (int cut = 0; cut <= after.length; cut += Math.max(1, after.length / 40)) {
                byte[] image = new byte[Math.max(cut, before.length)];
                System.arraycopy(before, 0, image, 0, before.length);
                System.arraycopy(after, 0, image, 0, cut);
                Files.write(torn.resolve("records.mv"), image);
                try (DurableRecords records = DurableRecords.open(torn)) {
                    assertThat(records.recovered().size())
                            .as("record %d, cut at %d", i, cut)
                            .isBetween(i, i + 1);
                    assertThat(records.recovered().get(i - 1)).isEqualTo(text(i - 1));
                }
            }
        }
    }

    @Test
    void damagedRecordIsDetected() throws Exception {
        try (DurableRecords records = DurableRecords.open(folder)) {
            records.append("the record to be damaged".getBytes(StandardCharsets.UTF_8));
        }
        Path file = folder.resolve("records.mv");
        byte[] bytes = Files.readAllBytes(file);
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int offset = text.indexOf("to be damaged");
        assertThat(offset).isPositive();
        while (offset >= 0) {
            bytes[offset] ^= 1;
            offset = text.indexOf("to be damaged", offset + 1);
        }
        Files.write(file, bytes);
        assertThatThrownBy(() -> DurableRecords.open(folder).close())
                .isInstanceOf(IOException.class)
                .hasMessageContaining("damaged");
    }

    @Test
    void recordsCannotBeOpenedTwice() throws Exception {
        try (DurableRecords records = DurableRecords.open(folder)) {
            records.append(new byte[] {1});
            assertThatThrownBy(() -> DurableRecords.open(folder))
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("in use");
        }
    }
}
