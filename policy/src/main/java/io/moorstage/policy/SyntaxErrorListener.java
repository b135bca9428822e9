package io.moorstage.policy;

import io.moorstage.policy.generated.PolicyLexer;
import io.moorstage.policy.generated.PolicyParser;
import io.moorstage.policy.generated.PolicyParser.TargetBodyContext;
import io.moorstage.policy.generated.PolicyParser.UnsupportedContext;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.Vocabulary;
import org.antlr.v4.runtime.misc.IntervalSet;

/** Converts the parser's syntax errors to policy errors that list the expected tokens. */
final class SyntaxErrorListener extends BaseErrorListener {
  private static final int MAX_QUOTED_LENGTH = 40;

  private final ErrorCollector errors;

  SyntaxErrorListener(ErrorCollector errors) {
    this.errors = errors;
  }

  @Override
  public void syntaxError(
      Recognizer<?, ?> recognizer,
      Object offendingSymbol,
      int line,
      int column,
      String message,
      @Nullable RecognitionException cause) {
    Token found = (Token) offendingSymbol;
    List<String> keywords = new ArrayList<>();
    List<String> expected = new ArrayList<>();
    collectExpected((PolicyParser) recognizer, keywords, expected);
    String detail = "found " + quote(found) + ", expected " + String.join(" or ", expected);
    String suggestion = NearestName.find(found.getText(), keywords);
    errors.add(line, column + 1, PolicyFailure.SYNTAX, detail, suggestion);
  }

  private static void collectExpected(
      PolicyParser parser, List<String> keywords, List<String> expected) {
    Vocabulary vocabulary = parser.getVocabulary();
    for (int type : supportedTokens(parser)) {
      String literal = vocabulary.getLiteralName(type);
      if (literal != null) {
        keywords.add(literal.substring(1, literal.length() - 1));
      }
      expected.add(literal != null ? literal : describe(vocabulary.getSymbolicName(type)));
    }
  }

  /**
   * Returns the types of the tokens that are allowed at the parser's position, without the keywords
   * that the grammar accepts only so that the compiler can report them as unsupported.
   */
  private static List<Integer> supportedTokens(PolicyParser parser) {
    // Copied because the parser's own set is read-only.
    IntervalSet types = new IntervalSet(parser.getExpectedTokens());
    ParserRuleContext context = parser.getContext();
    if (context instanceof UnsupportedContext) {
      // Almost any token is allowed inside an unsupported statement; only its end is missing.
      boolean inBlock = types.contains(PolicyLexer.RIGHT_BRACE);
      return List.of(inBlock ? PolicyLexer.RIGHT_BRACE : PolicyLexer.SEMICOLON);
    }
    types.remove(PolicyLexer.UNSUPPORTED);
    if (context instanceof TargetBodyContext) {
      types.remove(PolicyLexer.WEIGHT);
    }
    return types.toList();
  }

  private static String describe(@Nullable String tokenName) {
    if (tokenName == null) {
      return "the end of the file";
    }
    switch (tokenName) {
      case "EOF":
        return "the end of the file";
      case "ENDPOINT":
        return "an address such as 127.0.0.50:5683";
      case "DURATION":
        return "a time such as 500ms or 5s";
      case "NUMBER":
        return "a number";
      default:
        return "a name";
    }
  }

  private static String quote(Token token) {
    if (token.getType() == Token.EOF) {
      return "the end of the file";
    }
    String text = token.getText();
    boolean tooLong = text.length() > MAX_QUOTED_LENGTH;
    return "'" + (tooLong ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text) + "'";
  }
}
