package beaconladder.testbed.soak;

/** Reads the key-value pairs in the comment of a statement that a router has forwarded. */
final class Statements {
    private Statements() {}

    /** Returns the value of this name in the comment, or null if it has none. */
    static String value(String statement, String name) {
        int comment = statement.indexOf("/*");
        for (int start = comment + 2; comment >= 0 && start < statement.length(); ) {
            int end = statement.indexOf(',', start);
            end = end < 0 ? statement.indexOf("*/", start) : end;
            String pair = statement
                    .substring(start, end < 0 ? statement.length() : end)
                    .strip();
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
            start = end < 0 ? statement.length() : end + 1;
        }
        return null;
    }
}
