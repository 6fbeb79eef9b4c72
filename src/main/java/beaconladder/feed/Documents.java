package beaconladder.feed;

import java.util.Map;

/** Validates documents, the named texts that a state consists of. */
final class Documents {
    private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";

    private Documents() {}

    static boolean isValidName(String name) {
        return name != null && name.matches(NAME_PATTERN);
    }

    /** Returns the total number of characters of all names and texts. */
    static int characterCount(Map<String, String> documents) {
        return documents.entrySet().stream()
                .mapToInt(document ->
                        document.getKey().length() + document.getValue().length())
                .sum();
    }

    /** Describes the error in the first invalid document; null if all are valid. */
    static String describeError(Map<String, String> documents) {
        for (Map.Entry<String, String> document : documents.entrySet()) {
            if (!isValidName(document.getKey())) {
                return describeInvalidName(document.getKey());
            }
            if (document.getValue() == null) {
                return "'" + document.getKey() + "' has no text";
            }
        }
        return null;
    }

    static String describeInvalidName(String name) {
        return "'" + name + "' is no name of a document";
    }
}
