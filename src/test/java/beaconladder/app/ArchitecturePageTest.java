package beaconladder.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** docs/ARCHITECTURE.md names only types and packages that exist, and every package. */
class ArchitecturePageTest {
    private static final Path SOURCES = Path.of("src/main/java/beaconladder");
    private static final Pattern CODE = Pattern.compile("`([^`\n]+)`");
    private static final Pattern TYPE = Pattern.compile("(?:[a-z]+\\.)*[A-Z][a-z]\\w*");

    private static String page() throws IOException {
        return Files.readString(Path.of("docs/ARCHITECTURE.md"));
    }

    /** Types by qualified name without the leading package of the project. */
    private static Set<String> types() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .map(file -> SOURCES.relativize(file)
                            .toString()
                            .replace(".java", "")
                            .replace('/', '.'))
                    .collect(Collectors.toSet());
        }
    }

    @Test
    void everyTypeOnThePageExists() throws IOException {
        Set<String> types = types();
        Set<String> simple = types.stream()
                .map(type -> type.substring(type.lastIndexOf('.') + 1))
                .collect(Collectors.toSet());
        List<String> missing = new ArrayList<>();
        int named = 0;
        for (Matcher code = CODE.matcher(page()); code.find(); ) {
            for (Matcher type = TYPE.matcher(code.group(1)); type.find(); ) {
                named++;
                if (!types.contains(type.group()) && !simple.contains(type.group())) {
                    missing.add(type.group());
                }
            }
        }
        assertThat(named).isGreaterThan(50);
        assertThat(missing).isEmpty();
    }

    @Test
    void everyPackageIsOnThePage() throws IOException {
        String page = page();
        Set<String> packages = types().stream()
                .map(type -> type.substring(0, type.lastIndexOf('.')))
                .filter(name -> !name.equals("package-info"))
                .collect(Collectors.toSet());
        assertThat(packages).isNotEmpty().allSatisfy(name -> assertThat(page).contains("`" + name + "`"));
    }
}
