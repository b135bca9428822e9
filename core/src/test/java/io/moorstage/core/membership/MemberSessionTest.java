package io.moorstage.core.membership;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.agreement.ReferenceCodec;
import io.moorstage.core.agreement.ReplicaSettings;
import io.moorstage.core.agreement.cluster.MemberRegistration;
import io.moorstage.core.agreement.cluster.MemberRole;
import io.moorstage.core.message.MessageSender;
import io.moorstage.core.model.Endpoint;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class MemberSessionTest {
  private static final long MILLISECOND = 1_000_000;
  private static final long TICK = 20 * MILLISECOND;
  private static final long SILENCE = 60_000 * MILLISECOND;
  private static final long REACH = 5_000 * MILLISECOND;
  private static final Endpoint VOTER = Endpoint.of(1, 9000);

  /** A new configuration must reach all within 5 s, also if its leader is lost just after. */
  @Test
  void lossOfALeaderAndOneRetryTakeLessThanFiveSeconds() {
    ReplicaSettings replicas = ReplicaSettings.builder(List.of(VOTER)).build();
    long election =
        replicas.leaderLeaseNanos() + replicas.electionJitterNanos() + replicas.voteTimeoutNanos();
    assertThat(election + longestWaitWhileNobodyAnswers()).isLessThan(REACH);
  }

  @Test
  void memberThatLooksForALeaderAsksAllVotersAtOnce() {
    List<Endpoint> voters = List.of(VOTER, Endpoint.of(3, 9000), Endpoint.of(4, 9000));
    List<Endpoint> asked = new ArrayList<>();
    MemberSession session = session(voters, (destination, message) -> asked.add(destination));
    for (long now = 0; asked.isEmpty(); now += TICK) {
      session.onTick(now);
    }
    assertThat(asked).containsExactlyElementsIn(voters);
  }

  private static long longestWaitWhileNobodyAnswers() {
    List<Long> sentAt = new ArrayList<>();
    long[] now = {0};
    MemberSession session = session(List.of(VOTER), (destination, message) -> sentAt.add(now[0]));
    for (now[0] = 0; now[0] < SILENCE; now[0] += TICK) {
      session.onTick(now[0]);
    }
    long longest = 0;
    for (int index = 1; index < sentAt.size(); index++) {
      longest = Math.max(longest, sentAt.get(index) - sentAt.get(index - 1));
    }
    return longest;
  }

  private static MemberSession session(List<Endpoint> voters, MessageSender sender) {
    return new MemberSession(
        new MemberRegistration(
            "agent", 1, MemberRole.AGENT, Endpoint.of(2, 9000), "lac", new int[] {1}),
        voters,
        MemberSettings.DEFAULT,
        new ReferenceCodec(),
        sender,
        RandomSource.XO_SHI_RO_256_PP.create(1),
        state -> {},
        0);
  }
}
