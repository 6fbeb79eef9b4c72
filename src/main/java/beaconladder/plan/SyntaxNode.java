package beaconladder.plan;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/**
 * A list, a word or a quoted text, with its place in the file.
 *
 * @param text of a word or a quoted text; null for a list
 * @param items of a list
 */
record SyntaxNode(int line, int column, String text, boolean quoted, List<SyntaxNode> items) {
    /** Deeper than any plan needs, and shallow enough for the parser's recursion. */
    private static final int DEEPEST = 64;

    /** The lists of a file; what is wrong with their form is added to the faults. */
    static List<SyntaxNode> read(String file, String content, List<PlanError> faults) {
        int depth = 0;
        for (int i = 0; i < content.length(); i++) {
            depth += content.charAt(i) == '(' ? 1 : content.charAt(i) == ')' ? -1 : 0;
            if (depth > DEEPEST) {
                faults.add(new PlanError(file, 1, 1, "lists are nested deeper than " + DEEPEST));
                return List.of();
            }
        }
        BaseErrorListener listener = new BaseErrorListener() {
            @Override
            public void syntaxError(
                    Recognizer<?, ?> recognizer,
                    Object symbol,
                    int line,
                    int column,
                    String message,
                    RecognitionException e) {
                faults.add(new PlanError(file, line, column + 1, plain(symbol, message)));
            }
        };
        ExpressionsLexer lexer = new ExpressionsLexer(CharStreams.fromString(content));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        ExpressionsParser parser = new ExpressionsParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        ExpressionsParser.FileContext tree = parser.file();
        List<SyntaxNode> lists = new ArrayList<>();
        if (faults.isEmpty()) {
            tree.list().forEach(list -> lists.add(list(list)));
        }
        return lists;
    }

    private static String plain(Object symbol, String message) {
        if (symbol instanceof Token token) {
            return token.getType() == Token.EOF
                    ? "the file ends where a ')' belongs"
                    : token.getText().equals(")")
                            ? "a ')' that closes nothing"
                            : "'" + token.getText() + "' stands where a '(' belongs";
        }
        return message.contains("\"")
                ? "a quoted text that does not end on its line"
                : "a character that belongs to nothing: " + message;
    }

    private static SyntaxNode list(ExpressionsParser.ListContext context) {
        List<SyntaxNode> items = new ArrayList<>();
        for (ExpressionsParser.ItemContext item : context.item()) {
            if (item.list() != null) {
                items.add(list(item.list()));
            } else {
                Token token = item.getStart();
                boolean quoted = item.text() != null;
                String text = token.getText();
                items.add(new SyntaxNode(
                        token.getLine(),
                        token.getCharPositionInLine() + 1,
                        quoted ? text.substring(1, text.length() - 1) : text,
                        quoted,
                        List.of()));
            }
        }
        Token open = context.getStart();
        return new SyntaxNode(open.getLine(), open.getCharPositionInLine() + 1, null, false, items);
    }

    boolean isList() {
        return text == null;
    }

    /** What a list is about: its first word, or null. */
    String head() {
        return isList() && !items.isEmpty() && !items.get(0).isList() ? items.get(0).text : null;
    }

    /** The items behind the head. */
    List<SyntaxNode> rest() {
        return items.isEmpty() ? items : items.subList(1, items.size());
    }
}
