package io.moorstage.policy;

import io.moorstage.policy.generated.PolicyLexer;
import java.util.List;
import org.antlr.v4.runtime.Token;

/**
 * Formats a policy text: indents by two spaces per level, puts short nested blocks, such as those
 * of targets, on one line, and keeps at most one blank line in a row. Keeps comments. Idempotent.
 */
public final class PolicyFormatter {
  private static final int MAX_LINE_LENGTH = 100;
  private static final String INDENT = "  ";

  private final List<Token> tokens;
  private final StringBuilder text = new StringBuilder();
  private int depth;
  private int lineStart;

  private PolicyFormatter(List<Token> tokens) {
    this.tokens = tokens;
  }

  /**
   * Formats a policy.
   *
   * @throws PolicyException if the text does not conform to the grammar; semantic errors are
   *     ignored
   */
  public static String format(String source) throws PolicyException {
    return new PolicyFormatter(PolicySource.parse(source).tokens()).format();
  }

  private String format() {
    int index = 0;
    while (tokens.get(index).getType() != Token.EOF) {
      // A token on the same line after a comment would become part of the comment.
      if (index > 0 && isComment(tokens.get(index - 1))) {
        endLine();
      }
      index = isShortBlock(index) ? printOnOneLine(index) : printToken(index);
    }
    endLine();
    return text.toString();
  }

  private int printToken(int index) {
    Token token = tokens.get(index);
    switch (token.getText()) {
      case "{":
        append("{");
        depth++;
        break;
      case "}":
        endLine();
        depth--;
        append("}");
        break;
      case ";":
      case ",":
        appendPunctuation(token.getText());
        break;
      default:
        startLineIfNeeded(index);
        append(textOf(token));
    }
    return index + 1;
  }

  /** Prints a block on one line and returns the index of the token after its closing brace. */
  private int printOnOneLine(int open) {
    int index = open;
    for (; !tokens.get(index).getText().equals("}"); index++) {
      appendInline(tokens.get(index));
    }
    appendInline(tokens.get(index));
    return index + 1;
  }

  private void appendInline(Token token) {
    if (token.getText().equals(";")) {
      appendPunctuation(token.getText());
    } else {
      append(token.getText());
    }
  }

  /**
   * Starts a new line before a token that begins a statement or is a comment on its own line. Keeps
   * one blank line where the source has any, except after an opening brace.
   */
  private void startLineIfNeeded(int index) {
    if (index == 0) {
      return;
    }
    Token token = tokens.get(index);
    Token previous = tokens.get(index - 1);
    int linesBetween = token.getLine() - previous.getLine();
    boolean isOwnLineComment = isComment(token) && linesBetween > 0;
    boolean beginsStatement = !isComment(token) && (endsStatement(previous) || isComment(previous));
    if (!isOwnLineComment && !beginsStatement) {
      return;
    }
    endLine();
    boolean opensBlock = previous.getText().equals("{");
    if (linesBetween > 1 && !opensBlock) {
      text.append('\n');
      lineStart = text.length();
    }
  }

  private static boolean endsStatement(Token token) {
    String word = token.getText();
    return word.equals(";") || word.equals("}") || word.equals("{");
  }

  /**
   * Returns whether a token opens a nested block that fits on the current line and contains neither
   * comments nor inner blocks.
   */
  private boolean isShortBlock(int open) {
    if (!tokens.get(open).getText().equals("{") || depth == 0) {
      return false;
    }
    int length = currentLineLength();
    for (int index = open; ; index++) {
      Token token = tokens.get(index);
      boolean isInner = index > open && token.getText().equals("{");
      length += token.getText().length() + 1;
      if (isComment(token) || isInner || length > MAX_LINE_LENGTH + 1) {
        return false;
      }
      if (token.getText().equals("}")) {
        return true;
      }
    }
  }

  private int currentLineLength() {
    return text.length() - lineStart;
  }

  private void append(String word) {
    if (currentLineLength() == 0) {
      text.append(INDENT.repeat(Math.max(depth, 0)));
    } else {
      text.append(' ');
    }
    text.append(word);
  }

  private void appendPunctuation(String word) {
    if (currentLineLength() == 0) {
      append(word);
    } else {
      text.append(word);
    }
  }

  private void endLine() {
    if (currentLineLength() > 0) {
      text.append('\n');
      lineStart = text.length();
    }
  }

  private static boolean isComment(Token token) {
    return token.getType() == PolicyLexer.COMMENT;
  }

  private static String textOf(Token token) {
    return isComment(token) ? token.getText().stripTrailing() : token.getText();
  }
}
