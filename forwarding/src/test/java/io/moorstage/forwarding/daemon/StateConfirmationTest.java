package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.state.Revision;
import org.junit.jupiter.api.Test;

/**
 * Guards against resets of flows that have a route. A state of an earlier era must not confirm this
 * state: the source has been restored since and may hold a route that neither node has.
 */
class StateConfirmationTest {
  @Test
  void peerConfirmsTheStateUnlessItIsNewerOrOfAnEarlierEra() {
    long own = Revision.of(2, 16);
    assertThat(StateConfirmation.confirms(own, own)).isTrue();
    assertThat(StateConfirmation.confirms(Revision.of(2, 15), own)).isTrue();
    assertThat(StateConfirmation.confirms(Revision.of(2, 17), own)).isFalse();
    assertThat(StateConfirmation.confirms(Revision.of(1, 18), own)).isFalse();
    assertThat(StateConfirmation.confirms(Revision.of(3, 1), own)).isFalse();
  }
}
