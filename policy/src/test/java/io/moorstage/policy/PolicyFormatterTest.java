package io.moorstage.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class PolicyFormatterTest {
  @Test
  void formatsBlocksAndKeepsComments() throws PolicyException {
    String source =
        "# Head.\nzones lac,ariana ;\n\n\n\nservice s at 127.0.0.1:5683{ # opens\n\n"
            + "deadline 5s;# trails\n# above\ntarget a{zone lac;slots 5;connections 20;}\n"
            + "default target { # inside\nslots 5; } } # end";

    assertThat(PolicyFormatter.format(source))
        .isEqualTo(
            "# Head.\n"
                + "zones lac, ariana;\n"
                + "\n"
                + "service s at 127.0.0.1:5683 { # opens\n"
                + "\n"
                + "  deadline 5s; # trails\n"
                + "  # above\n"
                + "  target a { zone lac; slots 5; connections 20; }\n"
                + "  default target { # inside\n"
                + "    slots 5;\n"
                + "  }\n"
                + "} # end\n");
  }

  @Test
  void breaksBlocksThatDoNotFitOnOneLine() throws PolicyException {
    String name = "n".repeat(60);
    String source =
        "service s at 127.0.0.1:5683 { target "
            + name
            + " { zone lac; slots 5; connections 2000; } }";

    String formatted = PolicyFormatter.format(source);

    assertThat(formatted).contains(name + " {\n    zone lac;\n    slots 5;\n");
    assertThat(PolicyFormatter.format(formatted)).isEqualTo(formatted);
  }

  @Test
  void tokensAfterCommentDoNotBecomePartOfIt() throws PolicyException {
    String formatted = PolicyFormatter.format("zones lac # a\r# b\n, ariana # c\n;");

    assertThat(formatted).isEqualTo("zones lac # a\n# b\n, ariana # c\n;\n");
  }

  @Test
  void rejectsTextThatDoesNotConformToTheGrammar() {
    assertThrows(PolicyException.class, () -> PolicyFormatter.format("zones lac"));
  }
}
