package beaconladder.pg;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** Decimal numbers in texts from outside: read exactly, at a cost that their length bounds. */
public final class Decimal {
    /** No value that is read here, or what could not be read. */
    public static final long NONE = Long.MIN_VALUE;
    /** A long has 19 digits; as many again may stand behind the point. */
    private static final int LONGEST_TEXT = 64;
    /** Beyond this exponent a number is 0 or no long; written out, its digits would fill the memory. */
    private static final int LARGEST_SCALE = 64;

    private Decimal() {}

    /**
     * The number times a power of ten, rounded down.
     *
     * @return {@link #NONE} where the text is no decimal number or the result no long
     */
    public static long parseScaled(String text, int power) {
        if (text == null || text.length() > LONGEST_TEXT) {
            return NONE;
        }
        try {
            BigDecimal number = new BigDecimal(text);
            if (Math.abs((long) number.scale()) > LARGEST_SCALE) {
                return NONE;
            }
            return number.movePointRight(power).setScale(0, RoundingMode.FLOOR).longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            return NONE;
        }
    }
}
