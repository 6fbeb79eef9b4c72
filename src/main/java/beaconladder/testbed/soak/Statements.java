package beaconladder.testbed.soak;

/** Reads the comment of a statement that has passed a router. */
final class Statements {
    private Statements() {}

    /** The value of this name, or null. */
    static String value(String statement, String name) {
        int comment = statement.indexOf("/*");
        for (int at = comment + 2; comment >= 0 && at < statement.length(); ) {
            int end = statement.indexOf(',', at);
            end = end < 0 ? statement.indexOf("*/", at) : end;
            String pair =
                    statement.substring(at, end < 0 ? statement.length() : end).strip();
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
            at = end < 0 ? statement.length() : end + 1;
        }
        return null;
    }
}
