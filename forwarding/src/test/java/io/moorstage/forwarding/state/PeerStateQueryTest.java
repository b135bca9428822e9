package io.moorstage.forwarding.state;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PeerStateQueryTest {
  @Property(seed = "20261202", tries = 500)
  void parsedTextOfAQueryIsThatQuery(@ForAll long revision, @ForAll long version) {
    PeerStateQuery query = new PeerStateQuery(revision, version);
    assertThat(PeerStateQuery.parse(query.toString())).isEqualTo(query);
  }

  @Property(seed = "20261202", tries = 5_000)
  void anyTextIsParsed(@ForAll String text) {
    assertThat(PeerStateQuery.parse(text)).isNotNull();
  }

  @Test
  void malformedQueryRequestsTheCompleteState() {
    assertThat(PeerStateQuery.parse(null)).isEqualTo(PeerStateQuery.COMPLETE_STATE);
    assertThat(PeerStateQuery.parse("revision=many")).isEqualTo(PeerStateQuery.COMPLETE_STATE);
    assertThat(PeerStateQuery.parse("revision=7&version="))
        .isEqualTo(PeerStateQuery.COMPLETE_STATE);
  }
}
