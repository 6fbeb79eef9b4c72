package beaconladder.pg;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** Parses decimal numbers in untrusted text exactly, at a cost bounded by their length. */
public final class Decimal {
    /** No parsed value; returned for text that could not be parsed. */
    public static final long NONE = Long.MIN_VALUE;
    /** A long has 19 digits; as many again may follow the decimal point. */
    private static final int MAX_TEXT_CHARS = 64;
    /** Beyond this exponent a number is 0 or exceeds a long; expanding its digits could exhaust the memory. */
    private static final int MAX_SCALE = 64;

    private Decimal() {}

    /**
     * The number times a power of ten, rounded down.
     *
     * @return {@link #NONE} where the text is no decimal number or the result exceeds a long
     */
    public static long parseScaled(String text, int power) {
        if (text == null || text.length() > MAX_TEXT_CHARS) {
            return NONE;
        }
        try {
            BigDecimal number = new BigDecimal(text);
            if (Math.abs((long) number.scale()) > MAX_SCALE) {
                return NONE;
            }
            return number.movePointRight(power).setScale(0, RoundingMode.FLOOR).longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            return NONE;
        }
    }
}
