package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.moorstage.core.Fleet;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.Test;

/** Tests the stages of locating a flow, and that operations not allowed in a stage fail. */
class BalancerFlowTest {
  private static final long NOW_MS = 10_000;

  private final TargetSlot target =
      new TargetSlot(Fleet.target(0x0A010010, TargetPhase.READY, 1), 0);
  private final BalancerFlow flow = BalancerFlow.unknown(Fleet.flow(1), Fleet.SERVICE, NOW_MS);
  private final Search search = new Search(flow, 7, NOW_MS);

  @Test
  void targetThatKeepsTheOfferedSegmentIsAssumedToBeTheHolder() {
    flow.beginSearch(search);
    flow.offerTo(target);
    flow.assumeOfferKept();

    assertThat(flow.target()).isEqualTo(target);
    assertThat(flow.isSearching()).isFalse();
    assertThat(flow.unconfirmedSearch()).isEqualTo(search);
  }

  @Test
  void searchContinuesWhenAnOfferIsGivenBack() {
    flow.beginSearch(search);
    flow.offerTo(target);
    flow.markOfferGivenBack();

    assertThat(flow.search()).isEqualTo(search);
    assertThat(flow.offeredTo()).isNull();
    assertThat(flow.target()).isNull();
  }

  @Test
  void abandonedSearchLeavesTheFlowNotFoundUntilTheNextSearch() {
    flow.beginSearch(search);
    flow.giveUpSearch();

    assertThat(flow.isNotFound()).isTrue();
    assertThat(flow.search()).isNull();

    flow.beginSearch(new Search(flow, 7, NOW_MS));

    assertThat(flow.isNotFound()).isFalse();
  }

  @Test
  void segmentIsOfferedOnlyInASearchAndToOneTargetAtATime() {
    assertThrows(IllegalStateException.class, () -> flow.offerTo(target));

    flow.beginSearch(search);
    flow.offerTo(target);

    assertThrows(IllegalStateException.class, () -> flow.offerTo(target));
  }

  @Test
  void givingBackOrKeepingAnOfferWithoutAnOfferThrows() {
    flow.beginSearch(search);

    assertThrows(IllegalStateException.class, flow::markOfferGivenBack);
    assertThrows(IllegalStateException.class, flow::assumeOfferKept);
  }

  @Test
  void targetOfAFlowBeingSearchedForIsNotConfirmed() {
    flow.setHolder(target, true);
    assertThat(flow.confirmedTarget()).isEqualTo(target);

    flow.beginSearch(search);

    assertThat(flow.confirmedTarget()).isNull();
  }
}
