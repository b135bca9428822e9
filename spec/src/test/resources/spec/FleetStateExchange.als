/**
 * How balancers obtain the fleet's state: from the source, as complete states and as changes, and from
 * each other. The model covers FleetState (core), and StateKeeper with the exchange between peers (forwarding).
 *
 * The source's history is fixed, with one change at each revision. Nodes receive it in any order, late,
 * repeatedly and from any node. A response in flight is modeled as the state of another node that does not
 * change, and a restarted node as another node. A record is a target's id with a revision; the history
 * determines what the source listed at that revision. It makes no difference which listing the record of a
 * target that is gone refers to, since targets at one address succeed each other. The version of a
 * configuration is the revision at which it was accepted. If a response of the source ends at exactly the
 * node's revision, the code applies all its records, because the source may report a revision before it
 * delivers that revision's changes; in the model such a response changes nothing.
 *
 * Not modeled: time (a target that is gone may be forgotten at any moment), a target's other fields,
 * evacuations, the choice of the node to query, and that the pages of a complete state do not form a snapshot.
 */
module FleetStateExchange
open util/ordering[Revision] as revisions

/** The rules of the exchange. A check can disable each of them. */
abstract sig Rule {}
one sig
  /** Of two records of a target, the one with the higher revision takes precedence. */
  RecordsByRevision,
  /** A node ignores records up to its own revision, whether or not it holds a record of the target. */
  PastIsNoNews,
  /** A complete state that is older than the node's is merged and replaces nothing. */
  LateReadingIsMerged,
  /** A target that a complete state does not list is gone. */
  UnlistedIsGone,
  /** A target that a complete state records as gone counts as not listed in it. */
  GoneIsUnlisted,
  /** Of the targets at one address, the one listed last is current, not the one changed last. */
  ListingOrdersStarts,
  /** A configuration is replaced only by one with a higher version. */
  VersionOrdersConfigurations,
  /** A query from a revision before a forgotten change returns the complete state, not the changes. */
  WholeStateAfterForgetting,
  /** So does a query from a revision between two complete states, if the changes between them are missing. */
  WholeStateInGap,
  /** A node that applies a peer's changes also adopts the peer's gaps. */
  GapsArePassedOn,
  /** A peer's changes are applied only if the node's revision is the same as when it sent the query. */
  ChangesFitTheNode
  extends Rule {}
sig LeftOut in Rule {}

sig Address {}
/** One incarnation of a target; the next one at its address is another target. */
sig Target { address: one Address }
/** A change at the source, with the targets listed after it. The first revision precedes all changes. */
sig Revision { writes, ends: lone Target, listed: set Target }
sig Configured in Revision {}

fun upTo[r: set Revision]: set Revision { r.*revisions/prev }
fun after_[r: set Revision]: set Revision { r.^revisions/next }
fun between[r, s: Revision]: set Revision { after_[r] & s.^revisions/prev }
fun accepted[r: Revision]: one Revision { revisions/max[first + (Configured & upTo[r])] }
/** The last revision, up to r, at which the target was listed: for the first time, or again after its entry had ended. */
fun listing[t: Target, r: Revision]: lone Revision { revisions/max[{ q: writes.t & upTo[r] | t not in q.revisions/prev.listed }] }
/** The records of a complete state that is read from the source at a revision. */
fun reading[r: Revision]: Target -> Revision { { t: r.listed, q: Revision | q = revisions/max[writes.t & upTo[r]] } }
/** The running targets that are listed, each the most recent one at its address. */
fun live[r: Revision]: set Target {
  { t: r.listed | no u: address.(t.address) - t | some writes.u & upTo[r] & after_[revisions/max[writes.t & upTo[r]]] }
}

fact History {
  no first.(writes + ends + listed) and first not in Configured
  all r: Revision - first {
    r.listed = r.revisions/prev.listed + r.writes - r.ends
    r.ends in r.revisions/prev.listed and lone r.(writes + ends)
  }
  // A machine runs one target at a time: a target does not write after its successor is listed.
  all disj t, u: Target | t.address = u.address implies
    no writes.t & after_[revisions/min[writes.u]] or no writes.u & after_[revisions/min[writes.t]]
}

sig Node {
  /** The source's revision up to which the node's state is complete, and its configuration's version. */
  var at, version: one Revision,
  var held: Target -> lone Revision,
  /** Revisions since which the node may lack changes: those in gaps, and those before a forgotten change. */
  var incompleteSince: set Revision
}
/** The records of targets that are still listed as of the record's revision. */
fun stillListed[records: Target -> Revision]: Target -> Revision { records & ~listed }
fun shown[n: Node]: Target -> Revision { stillListed[n.held] }

pred init { Node.at = first and Node.version = first and no held and no incompleteSince }

/** Whether a record is newer than what a node has. */
pred isNewer[n: Node, t: Target, r: Revision] {
  RecordsByRevision in LeftOut or r in after_[some n.held[t] implies n.held[t] else n.at]
  PastIsNoNews in LeftOut or r in after_[n.at]
}
fun merged[n: Node, received: Target -> Revision]: Target -> Revision {
  n.held ++ { t: Target, r: received[t] | isNewer[n, t, r] }
}

pred transitionsTo[n: Node, at_, version_: Revision, held_: Target -> Revision, incompleteSince_: set Revision] {
  at' = at ++ n -> at_
  version' = version ++ n ->
    ((lt[n.version, version_] or VersionOrdersConfigurations in LeftOut) implies version_ else n.version)
  held' = held - n -> Target -> Revision + n -> held_
  incompleteSince' = incompleteSince - n -> Revision + n -> incompleteSince_
}

/** Applies a complete state: targets that it does not list are gone. An older state is only merged. */
pred replaceBy[n: Node, at_, version_: Revision, received: Target -> Revision] {
  lt[at_, n.at] and LateReadingIsMerged not in LeftOut
    implies transitionsTo[n, n.at, version_, merged[n, received], n.incompleteSince]
    else let known = merged[n, received],
        reported = (GoneIsUnlisted in LeftOut implies received.Revision else stillListed[received].Revision),
        unlisted = (UnlistedIsGone in LeftOut implies none else stillListed[known].Revision - reported) |
      transitionsTo[n, at_, version_, known ++ unlisted -> at_,
        n.incompleteSince + (WholeStateInGap in LeftOut implies none else between[n.at, at_])]
}
pred readsSource[n: Node, r: Revision] { r != first and replaceBy[n, r, accepted[r], reading[r]] }
pred appliesPeerState[n, m: Node] { m.at != first and replaceBy[n, m.at, m.version, m.held] }

/** Applies a peer's changes since the revision at which the node sent its query. */
pred appliesPeerChanges[n, m: Node, queriedAt: Revision] {
  queriedAt in upTo[n.at] - first - m.incompleteSince
  queriedAt = n.at or ChangesFitTheNode in LeftOut
  let gaps = (GapsArePassedOn in LeftOut implies none else m.incompleteSince & between[n.at, m.at]) |
    transitionsTo[n, revisions/max[n.at + m.at], (m.version in upTo[n.version] implies first else m.version),
      merged[n, m.held & Target -> after_[queriedAt]], n.incompleteSince + gaps]
}

/** Applies the source's changes since the revision at which the node sent its request. */
pred appliesChanges[n: Node, queriedAt, r: Revision] {
  queriedAt in upTo[n.at] - first and r in after_[queriedAt]
  let window = after_[queriedAt] & upTo[r],
      written = { t: Target, q: revisions/max[writes.t & window] |
        isNewer[n, t, q] or no n.held[t] and PastIsNoNews in LeftOut },
      known = n.held ++ written,
      gone = { t: known.Revision, q: revisions/max[ends.t & window] | q in after_[known[t]] } |
    transitionsTo[n, revisions/max[n.at + r], accepted[r], known ++ gone, n.incompleteSince]
}

/** Removes the record of a target that is gone. The code does so after a retention period. */
pred forgets[n: Node, t: Target] {
  some n.held[t] and t not in shown[n].Revision
  transitionsTo[n, n.at, n.version, n.held - t -> Revision,
    n.incompleteSince + (WholeStateAfterForgetting in LeftOut implies none else (n.held[t]).^revisions/prev)]
}

pred stutter { at' = at and version' = version and held' = held and incompleteSince' = incompleteSince }
pred anyReading { some n: Node, r: Revision | readsSource[n, r] }
pred anyState { some disj n, m: Node | appliesPeerState[n, m] }
pred anyChangesOfPeer { some disj n, m: Node, r: Revision | appliesPeerChanges[n, m, r] }
pred anyChanges { some n: Node, queriedAt, r: Revision | appliesChanges[n, queriedAt, r] }
pred anyForgetting { some n: Node, t: Target | forgets[n, t] }
pred step { stutter or anyReading or anyState or anyChangesOfPeer or anyChanges or anyForgetting }
pred behaviour { init and always step }

/** A state never reverts: no revision decreases, and a target that ended by the node's revision is not listed again. */
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
/** A target that is live as of the node's revision is the node's current target at its address. */
pred liveIsShown {
  all n: Node, t: live[n.at] | t in shown[n].Revision and no u: Target - t | supersedes[n, u, t]
}

/** Nodes that are complete up to the same revision agree with each other and with the source. */
pred nodesAgree { all n: Node | shown[n] = reading[n.at] and n.version = accepted[n.at] }

pred promise { neverGoesBack and liveIsShown and nodesAgree }

/** An inductive invariant: it holds initially and each step preserves it, so the promise holds in runs of any length. */
pred invariant {
  liveIsShown and nodesAgree
  all n: Node {
    n.held[Target] in upTo[n.at] - first
    all t: n.held.Revision | some writes.t & upTo[n.held[t]]
    // For a query from any revision that is not in incompleteSince, the node has a record of each end since then.
    all r: upTo[n.at] - first - n.incompleteSince, t: r.listed - n.at.listed | some n.held[t] & after_[r]
  }
}

// Each kind of step can happen twice in a run whose history has a listing, an end and a configuration.
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

// With one rule disabled there is a counterexample, which the test requires. Checks with long runs allow only some
// kinds of steps, because the solver finds their counterexamples faster.
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
