package beaconladder.feed;

import java.util.Map;

/** Rules on documents, the named texts that a state consists of. */
final class Documents {
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";

    private Documents() {}

    static boolean isValidName(String name) {
        return name != null && name.matches(NAME);
    }

    /** Characters of all names and texts together. */
    static int characterCount(Map<String, String> documents) {
        return documents.entrySet().stream()
                .mapToInt(document ->
                        document.getKey().length() + document.getValue().length())
                .sum();
    }

    /** What is wrong with the first invalid document, or null if all are valid. */
    static String fault(Map<String, String> documents) {
        for (Map.Entry<String, String> document : documents.entrySet()) {
            if (!isValidName(document.getKey())) {
                return nameFault(document.getKey());
            }
            if (document.getValue() == null) {
                return "'" + document.getKey() + "' has no text";
            }
        }
        return null;
    }

    static String nameFault(String name) {
        return "'" + name + "' is no name of a document";
    }
}
