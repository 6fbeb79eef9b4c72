package beaconladder.plan;

import java.util.Set;

/** Suggestions for misspelt words. */
final class WordDistance {
    private WordDistance() {}

    /** The known word that differs least, if it differs by no more than two letters. */
    static String nearest(String word, Set<String> known) {
        String best = null;
        int least = 3;
        for (String each : known) {
            int distance = distance(word, each);
            if (distance < least || distance == least && best != null && each.compareTo(best) < 0) {
                best = each;
                least = distance;
            }
        }
        return best == null ? "" : "; did you mean '" + best + "'?";
    }

    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int next = Math.min(
                        Math.min(row[j], row[j - 1]) + 1, diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
                diagonal = row[j];
                row[j] = next;
            }
        }
        return row[b.length()];
    }
}
