package io.moorstage.policy;

import io.moorstage.policy.generated.PolicyLexer;
import io.moorstage.policy.generated.PolicyParser;
import io.moorstage.policy.generated.PolicyParser.PolicyContext;
import java.util.List;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/** A policy text that conforms to the grammar: its parse tree, and its tokens with comments. */
public final class PolicySource {
  private final PolicyContext tree;
  private final List<Token> tokens;

  private PolicySource(PolicyContext tree, List<Token> tokens) {
    this.tree = tree;
    this.tokens = tokens;
  }

  /**
   * Parses a policy text without checking its semantics.
   *
   * @throws PolicyException with all syntax errors, or if the text is too large
   */
  public static PolicySource parse(String text) throws PolicyException {
    ErrorCollector errors = new ErrorCollector();
    if (text.length() > PolicyCompiler.MAX_SOURCE_LENGTH) {
      String detail =
          text.length() + " characters; the limit is " + PolicyCompiler.MAX_SOURCE_LENGTH;
      errors.add(1, 1, PolicyFailure.SOURCE_TOO_LARGE, detail, null);
      errors.throwIfAny();
    }
    CommonTokenStream tokens = new CommonTokenStream(new PolicyLexer(CharStreams.fromString(text)));
    PolicyParser parser = new PolicyParser(tokens);
    parser.removeErrorListeners();
    parser.addErrorListener(new SyntaxErrorListener(errors));
    PolicyContext tree = null;
    try {
      tree = parser.policy();
    } catch (ParseCancellationException e) {
      // The list of errors is full and is thrown below.
    }
    errors.throwIfAny();
    return new PolicySource(tree, tokens.getTokens());
  }

  PolicyContext tree() {
    return tree;
  }

  List<Token> tokens() {
    return tokens;
  }
}
