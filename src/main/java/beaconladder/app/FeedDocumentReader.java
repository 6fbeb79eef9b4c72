package beaconladder.app;

import beaconladder.discovery.JsonReader;
import beaconladder.feed.VersionedState;
import beaconladder.plan.PlanReader;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads documents to propose from files, with the checks that need no router. */
final class FeedDocumentReader {
    /** A document named so is checked as a plan. */
    private static final String PLAN = "plan";

    private static final String JSON_SUFFIX = ".json";
    /** Of UTF-8; a longer file has too many characters in any case. */
    private static final long MAX_FILE_BYTES = 4L * VersionedState.MAX_CHARACTERS;

    private FeedDocumentReader() {}

    /**
     * The text of a document.
     *
     * @param name the document's, which decides the format to check
     * @throws FeedInputException if the file can't be read, is too large, or is not of the format
     */
    static String read(String name, Path file) throws FeedInputException {
        String text = readText(file);
        if (name.equals(PLAN)) {
            PlanReader.Result result = PlanReader.read(file.toString(), text);
            if (result.plan() == null) {
                throw new FeedInputException(String.valueOf(result.errors().get(0)));
            }
        }
        if (name.endsWith(JSON_SUFFIX)) {
            try {
                JsonReader.parse(text);
            } catch (JsonReader.ParseException e) {
                throw new FeedInputException(file + ": " + e.getMessage());
            }
        }
        return text;
    }

    private static String readText(Path file) throws FeedInputException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new FeedInputException(file + " is too large: all documents together have at most "
                        + VersionedState.MAX_CHARACTERS + " characters");
            }
            return Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new FeedInputException(file + " is not UTF-8");
        } catch (IOException e) {
            throw new FeedInputException(file + " can't be read: " + e);
        }
    }
}
