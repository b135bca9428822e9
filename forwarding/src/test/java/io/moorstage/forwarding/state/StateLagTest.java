package io.moorstage.forwarding.state;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StateLagTest {
  private static final int PEER = 7;
  private static final int OTHER = 8;

  private final StateLag lag = new StateLag();

  @Test
  void peerWithoutANewerStateIsNotQueried() {
    lag.recordPeerRevision(PEER, true, 10, 10, 0);
    assertThat(lag.peerToQuery(10, true, 1_000)).isEqualTo(0);
  }

  @Test
  void sourceThatRespondsHasTimeToProvideTheState() {
    lag.recordPeerRevision(PEER, true, 11, 10, 0);
    assertThat(lag.peerToQuery(10, true, 100)).isEqualTo(0);
    assertThat(lag.peerToQuery(11, true, 200)).isEqualTo(0);
  }

  @Test
  void peerIsQueriedIfTheSourceDoesNotProvideTheStateInTime() {
    lag.recordPeerRevision(PEER, true, 11, 10, 0);
    assertThat(lag.peerToQuery(10, true, 151)).isEqualTo(PEER);
    assertThat(lag.peerToQuery(10, true, 152)).isEqualTo(0);
  }

  @Test
  void peerIsQueriedAtOnceIfTheSourceDoesNotRespond() {
    lag.recordPeerRevision(PEER, true, 11, 10, 0);
    assertThat(lag.peerToQuery(10, false, 0)).isEqualTo(PEER);
  }

  @Test
  void peerIsQueriedAtOnceByANodeWithoutAState() {
    lag.recordPeerRevision(PEER, true, 11, 0, 0);
    assertThat(lag.peerToQuery(0, true, 0)).isEqualTo(PEER);
  }

  @Test
  void peerWithTheLatestAdvertisementIsQueried() {
    lag.recordPeerRevision(PEER, true, 11, 10, 0);
    lag.recordPeerRevision(OTHER, true, 12, 10, 20);
    assertThat(lag.peerToQuery(10, true, 160)).isEqualTo(OTHER);
  }

  @Test
  void peerOfTheSameZoneIsPreferredToOneOfAnotherZone() {
    lag.recordPeerRevision(PEER, true, 11, 10, 0);
    lag.recordPeerRevision(OTHER, false, 12, 10, 20);
    assertThat(lag.peerToQuery(10, true, 160)).isEqualTo(PEER);
  }

  @Test
  void peerOfAnotherZoneIsQueriedIfNoPeerOfTheSameZoneAdvertisesInTime() {
    lag.recordPeerRevision(OTHER, false, 11, 10, 0);
    assertThat(lag.peerToQuery(10, false, 100)).isEqualTo(0);
    assertThat(lag.peerToQuery(10, false, 151)).isEqualTo(OTHER);
  }
}
