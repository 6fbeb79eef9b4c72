package beaconladder.plan;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads and validates a plan; all errors are reported at once, each with its position. */
public final class PlanReader {
    /** A plan of 10,000 tenants takes a megabyte; a larger file is rejected unread. */
    private static final long MAX_FILE_BYTES = 16 << 20;

    /**
     * The plan, or null if there are errors.
     *
     * @param errors in the order found; empty if there is a plan
     */
    public record Result(Plan plan, List<PlanError> errors) {}

    private PlanReader() {}

    /** Reads a file; if it can't be read at all, that is reported as an error of its first line. */
    public static Result read(Path path) {
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                return new Result(null, List.of(new PlanError(path.toString(), 1, 1, "too long for a plan")));
            }
            return read(path.toString(), Files.readString(path));
        } catch (CharacterCodingException e) {
            return new Result(null, List.of(new PlanError(path.toString(), 1, 1, "the file is not UTF-8")));
        } catch (IOException e) {
            return new Result(null, List.of(new PlanError(path.toString(), 1, 1, "can't be read: " + e)));
        }
    }

    /** Reads a plan's text; the file's name is for error messages. */
    public static Result read(String file, String content) {
        PlanDraft draft = new PlanDraft(file);
        LeaseSections leases = new LeaseSections(draft);
        for (SyntaxNode section : SyntaxNode.read(file, content, draft.errors)) {
            readSection(section, draft, leases);
        }
        if (draft.errors.isEmpty()) {
            new CellValidator(draft).validate();
            leases.checkLeaseServers();
        }
        return new Result(draft.errors.isEmpty() ? draft.complete() : null, List.copyOf(draft.errors));
    }

    private static void readSection(SyntaxNode section, PlanDraft draft, LeaseSections leases) {
        CellSections cells = new CellSections(draft);
        switch (String.valueOf(section.head())) {
            case "cell" -> cells.readCell(section);
            case "tenant" -> cells.readTenant(section);
            case "others" -> cells.readOthers(section);
            case "router" -> cells.readRouter(section);
            case "keeper" -> new CoordinatorSection(draft).readCoordinator(section);
            case "move" -> cells.readRelocation(section);
            case "leases" -> leases.readLeases(section);
            case "grantor" -> leases.readLeaseServer(section);
            default ->
                cells.error(
                        section,
                        "a list of cell, tenant, others, router, keeper, move, leases or grantor belongs here,"
                                + " not '" + section.head() + "'");
        }
    }
}
