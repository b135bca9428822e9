/**
 * How balancers learn of the fleet: from the source, by complete readings and by changes, and from each
 * other. It models FleetState (core), and StateKeeper with the exchange between peers (forwarding).
 *
 * The source's history is fixed, a change at each revision; nodes learn of it in any order, late, again
 * and from whomever. An answer under way is what another node, that stands still, would tell, and a
 * restarted node is another node. A record is a target's id with a revision: the history tells what the
 * source listed by then. Which listing a record of a target that is gone names makes no difference,
 * since targets at one address follow each other. A configuration's version is the revision at which it
 * was accepted. Of an answer of the source that leads up to just the node's revision the code takes all
 * records, as the source may name a revision before it tells of it; here such an answer changes nothing.
 *
 * Left out: time (a target that is gone may be forgotten at any moment), a target's other fields,
 * evacuations, the choice of whom to ask, and that the pages of a reading are no snapshot.
 */
module FleetStateExchange
open util/ordering[Revision] as revisions

/** Each rule can be left out. */
abstract sig Rule {}
one sig
  /** Of two records of a target, the one with the higher revision counts. */
  RecordsByRevision,
  /** A record of a time up to which a node knows all is no news to it, whatever it holds of the target. */
  PastIsNoNews,
  /** A complete state that is older than the node's is only merged. */
  LateReadingIsMerged,
  /** What a complete state does not list is gone. */
  UnlistedIsGone,
  /** A target that a complete state tells to be gone is not listed in it. */
  GoneIsUnlisted,
  /** The target that was listed last stands for its address, not the one that changed last. */
  ListingOrdersStarts,
  /** A configuration is replaced by one of a higher version only. */
  VersionOrdersConfigurations,
  /** Whoever asks from before what was forgotten gets the whole state, not the changes. */
  WholeStateAfterForgetting,
  /** So does whoever asks from between two states that were complete, but not what lies between. */
  WholeStateInGap,
  /** Whoever takes changes of a peer takes over the peer's gaps. */
  GapsArePassedOn,
  /** A peer's changes are taken only while the node knows what it knew when it asked. */
  ChangesFitTheNode
  extends Rule {}
sig LeftOut in Rule {}

sig Address {}
/** One start of a target; the next one at its address is another target. */
sig Target { address: one Address }
/** A change at the source, which lists the targets after it; at the first one nothing has been told. */
sig Revision { writes, ends: lone Target, listed: set Target }
sig Configured in Revision {}

fun upTo[r: set Revision]: set Revision { r.*revisions/prev }
fun after_[r: set Revision]: set Revision { r.^revisions/next }
fun between[r, s: Revision]: set Revision { after_[r] & s.^revisions/prev }
fun accepted[r: Revision]: one Revision { revisions/max[first + (Configured & upTo[r])] }
/** When the target was listed first, or again after its entry had ended. */
fun listing[t: Target, r: Revision]: lone Revision { revisions/max[{ q: writes.t & upTo[r] | t not in q.revisions/prev.listed }] }
/** What a complete reading at a revision tells. */
fun reading[r: Revision]: Target -> Revision { { t: r.listed, q: Revision | q = revisions/max[writes.t & upTo[r]] } }
/** The targets that run, each the last one at its address, and have an entry. */
fun live[r: Revision]: set Target {
  { t: r.listed | no u: address.(t.address) - t | some writes.u & upTo[r] & after_[revisions/max[writes.t & upTo[r]]] }
}

fact History {
  no first.(writes + ends + listed) and first not in Configured
  all r: Revision - first {
    r.listed = r.revisions/prev.listed + r.writes - r.ends
    r.ends in r.revisions/prev.listed and lone r.(writes + ends)
  }
  // A machine holds one target at a time: once its successor is listed, a target writes no more.
  all disj t, u: Target | t.address = u.address implies
    no writes.t & after_[revisions/min[writes.u]] or no writes.u & after_[revisions/min[writes.t]]
}

sig Node {
  /** The source's revision up to which nothing is missing, and the configuration's version. */
  var at, version: one Revision,
  var held: Target -> lone Revision,
  /** Revisions after which it may not know all changes: those in gaps, and those before what it forgot. */
  var untold: set Revision
}
/** Of some records, those that are not gone. */
fun stillListed[records: Target -> Revision]: Target -> Revision { records & ~listed }
fun shown[n: Node]: Target -> Revision { stillListed[n.held] }

pred init { Node.at = first and Node.version = first and no held and no untold }

/** Whether a record is news to a node. */
pred isNews[n: Node, t: Target, r: Revision] {
  RecordsByRevision in LeftOut or r in after_[some n.held[t] implies n.held[t] else n.at]
  PastIsNoNews in LeftOut or r in after_[n.at]
}
fun merged[n: Node, news: Target -> Revision]: Target -> Revision {
  n.held ++ { t: Target, r: news[t] | isNews[n, t, r] }
}

pred goesTo[n: Node, at_, version_: Revision, held_: Target -> Revision, untold_: set Revision] {
  at' = at ++ n -> at_
  version' = version ++ n ->
    ((lt[n.version, version_] or VersionOrdersConfigurations in LeftOut) implies version_ else n.version)
  held' = held - n -> Target -> Revision + n -> held_
  untold' = untold - n -> Revision + n -> untold_
}

/** A complete state: what it does not list is gone, unless it is older. */
pred replaceBy[n: Node, at_, version_: Revision, news: Target -> Revision] {
  lt[at_, n.at] and LateReadingIsMerged not in LeftOut
    implies goesTo[n, n.at, version_, merged[n, news], n.untold]
    else let known = merged[n, news],
        told = (GoneIsUnlisted in LeftOut implies news.Revision else stillListed[news].Revision),
        unlisted = (UnlistedIsGone in LeftOut implies none else stillListed[known].Revision - told) |
      goesTo[n, at_, version_, known ++ unlisted -> at_,
        n.untold + (WholeStateInGap in LeftOut implies none else between[n.at, at_])]
}
pred readsSource[n: Node, r: Revision] { r != first and replaceBy[n, r, accepted[r], reading[r]] }
pred takesState[n, m: Node] { m.at != first and replaceBy[n, m.at, m.version, m.held] }

/** Takes what has changed at a peer since the revision at which the node asked. */
pred takesChanges[n, m: Node, asked: Revision] {
  asked in upTo[n.at] - first - m.untold
  asked = n.at or ChangesFitTheNode in LeftOut
  let gaps = (GapsArePassedOn in LeftOut implies none else m.untold & between[n.at, m.at]) |
    goesTo[n, revisions/max[n.at + m.at], (m.version in upTo[n.version] implies first else m.version),
      merged[n, m.held & Target -> after_[asked]], n.untold + gaps]
}

/** Takes the source's changes since the revision at which the node asked. */
pred appliesChanges[n: Node, asked, r: Revision] {
  asked in upTo[n.at] - first and r in after_[asked]
  let window = after_[asked] & upTo[r],
      written = { t: Target, q: revisions/max[writes.t & window] |
        isNews[n, t, q] or no n.held[t] and PastIsNoNews in LeftOut },
      known = n.held ++ written,
      gone = { t: known.Revision, q: revisions/max[ends.t & window] | q in after_[known[t]] } |
    goesTo[n, revisions/max[n.at + r], accepted[r], known ++ gone, n.untold]
}

/** A target that has been gone for long enough is forgotten. */
pred forgets[n: Node, t: Target] {
  some n.held[t] and t not in shown[n].Revision
  goesTo[n, n.at, n.version, n.held - t -> Revision,
    n.untold + (WholeStateAfterForgetting in LeftOut implies none else (n.held[t]).^revisions/prev)]
}

pred stutter { at' = at and version' = version and held' = held and untold' = untold }
pred anyReading { some n: Node, r: Revision | readsSource[n, r] }
pred anyState { some disj n, m: Node | takesState[n, m] }
pred anyChangesOfPeer { some disj n, m: Node, r: Revision | takesChanges[n, m, r] }
pred anyChanges { some n: Node, asked, r: Revision | appliesChanges[n, asked, r] }
pred anyForgetting { some n: Node, t: Target | forgets[n, t] }
pred step { stutter or anyReading or anyState or anyChangesOfPeer or anyChanges or anyForgetting }
pred behaviour { init and always step }

/** A state never goes back: no revision falls, and what has ended by its revision is not listed again. */
pred recordsNeverGoBack { all n: Node, t: Target | n.(held')[t] in n.held[t].*revisions/next or no n.held[t] }
pred neverGoesBack {
  recordsNeverGoBack
  all n: Node {
    n.at' in n.at.*revisions/next and n.version' in n.version.*revisions/next
    all t: Target - shown[n].Revision | no n.(held')[t] or n.(held')[t] in after_[n.at] or t not in n.(held')[t].listed
  }
}

pred supersedes[n: Node, u, t: Target] {
  u.address = t.address and some n.held[u]
  ListingOrdersStarts in LeftOut
    implies lt[n.held[t], n.held[u]]
    else lt[listing[t, n.held[t]], listing[u, n.held[u]]]
}
/** A target that is live as of the node's revision stands for its address there. */
pred liveIsShown {
  all n: Node, t: live[n.at] | t in shown[n].Revision and no u: Target - t | supersedes[n, u, t]
}

/** Nodes that know all up to the same revision agree, with the source too. */
pred nodesAgree { all n: Node | shown[n] = reading[n.at] and n.version = accepted[n.at] }

pred promise { neverGoesBack and liveIsShown and nodesAgree }

/** Holds in every reachable state and is kept by each step: so the promises hold in runs of any length. */
pred invariant {
  liveIsShown and nodesAgree
  all n: Node {
    n.held[Target] in upTo[n.at] - first
    all t: n.held.Revision | some writes.t & upTo[n.held[t]]
    // To a node that asks from a revision that is not excepted, each end since then can be told.
    all r: upTo[n.at] - first - n.untold, t: r.listed - n.at.listed | some n.held[t] & after_[r]
  }
}

// Each step can happen twice on the way, with a listing, an end and a configuration in the history.
pred lively { no LeftOut and behaviour and some writes and some ends and some Configured }
pred advances { at' != at }
run TwoReadings { lively and eventually (anyReading and advances and after eventually (anyReading and advances)) }
  for 2 but 5 Revision, 6..6 steps
run TwoStatesOfPeers { lively and eventually (anyState and advances and after eventually (anyState and advances)) }
  for 2 but 5 Revision, 6..6 steps
run TwoChangesOfPeers { lively and eventually (anyChangesOfPeer and advances and after eventually (anyChangesOfPeer and advances)) }
  for 2 but 5 Revision, 7..7 steps
run TwoChanges { lively and eventually (anyChanges and advances and after eventually (anyChanges and advances)) }
  for 2 but 5 Revision, 6..6 steps
run TwoForgettings { lively and eventually (anyForgetting and after eventually anyForgetting) }
  for 2 but 5 Revision, 6..6 steps

check InvariantHoldsInitially { init implies invariant } for 3 but 5 Revision, 1..1 steps
check InvariantIsKept { no LeftOut and invariant and step implies neverGoesBack and after invariant }
  for 3 but 2 Node, 2 Address, 5 Revision, 2..2 steps
check PromiseKept { no LeftOut and behaviour implies always promise } for 2 but 1 Address, 3 Revision, 5..5 steps

// Without one of the rules there is a counterexample; the test demands it. Long runs are of some steps only, which
// the solver finds sooner.
check WithoutRecordsByRevision { LeftOut = RecordsByRevision + PastIsNoNews and behaviour implies always recordsNeverGoBack }
  for 2 but 1 Address, 4 Revision, 5..5 steps
check WithoutPastIsNoNews { LeftOut = PastIsNoNews and behaviour implies always promise }
  for 2 but  1 Address, 4 Revision, 6..6 steps
check WithoutLateReadingIsMerged { LeftOut = LateReadingIsMerged and behaviour implies always promise }
  for 2 but  1 Address, 4 Revision, 5..5 steps
check WithoutUnlistedIsGone { LeftOut = UnlistedIsGone and behaviour implies always promise }
  for 2 but  1 Address, 4 Revision, 5..5 steps
check WithoutGoneIsUnlisted { LeftOut = GoneIsUnlisted and init and no Configured and always (stutter or anyReading or anyState) implies always nodesAgree }
  for 2 but 1 Target, 1 Address, 5 Revision, 6..6 steps
check WithoutListingOrdersStarts { LeftOut = ListingOrdersStarts and behaviour implies always promise }
  for 2 but  1 Address, 4 Revision, 5..5 steps
check WithoutVersionOrdersConfigurations { LeftOut = VersionOrdersConfigurations and behaviour implies always promise }
  for 2 but  1 Address, 4 Revision, 5..5 steps
check WithoutWholeStateAfterForgetting { LeftOut = WholeStateAfterForgetting and behaviour implies always promise }
  for 2 but 1 Target, 1 Address, 4 Revision, 6..6 steps
check WithoutWholeStateInGap { LeftOut = WholeStateInGap and behaviour implies always promise }
  for 2 but 1 Target, 1 Address, 4 Revision, 5..5 steps
check WithoutGapsArePassedOn { LeftOut = GapsArePassedOn and init and no Configured and always (stutter or anyReading or anyChangesOfPeer) implies always nodesAgree }
  for 2 but 3 Node, 1 Target, 1 Address, 4 Revision, 7..7 steps
check WithoutChangesFitTheNode { LeftOut = ChangesFitTheNode and behaviour implies always promise }
  for 2 but 1 Target, 1 Address, 4 Revision, 6..6 steps
