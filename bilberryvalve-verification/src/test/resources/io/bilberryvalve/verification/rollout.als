/*
 * The configuration never reverts: concurrent submissions, lost answers, pushes that
 * arrive late or out of order, and a daemon that starts while the store is down.
 */
module rollout
open util/ordering[Version] as versions

sig Version {}
sig Part {}

-- A submission replaces one part and is made by an operator who has seen a version.
sig Submission { part: one Part }

one sig Store {
  var head: one Version,
  -- the submission whose text each part of the head has
  var parts: Part -> lone Submission,
  -- all submissions that were accepted, with the version each created
  var accepted: Submission -> Version,
  var reachable: lone Store
}

-- Writes of the head that the store may still apply: submission and expected version.
one sig Network {
  var writes: Submission -> Version,
  var pushes: Daemon -> Version
}

sig Daemon { var inForce: lone Version }
var sig Ready in Daemon {}

lone sig NoBaseCheck, NoVersionCheck, FirstPeerSuffices, ForgetsSubmissions {}

pred init {
  Store.head = versions/first and no parts and no accepted and Store.reachable = Store
  no writes and no pushes
  Ready = Daemon and all d: Daemon | d.inForce = versions/first
}

pred sameStore { head' = head and parts' = parts and accepted' = accepted }
pred sameDaemons { inForce' = inForce and Ready' = Ready }
pred sameNetwork { writes' = writes and pushes' = pushes }

-- The operator's document is based on a version that some daemon has in force. After a
-- lost answer the same submission is sent again, possibly through another entry.
pred submit[s: Submission, b: Version] {
  b in Daemon.inForce
  s.(Network.writes) in b
  Network.writes' = Network.writes + s->b
  pushes' = pushes and reachable' = reachable and sameStore and sameDaemons
}

-- The write stays available, so that the store may apply a second copy of it. An entry
-- that finds the submission among the accepted ones writes nothing.
pred applyWrite[s: Submission, b: Version] {
  s->b in Network.writes and some Store.reachable
  b = Store.head or some NoBaseCheck
  no s.(Store.accepted) or some ForgetsSubmissions
  some Store.head.next
  Store.head' = Store.head.next
  Store.parts' = Store.parts ++ s.part->s
  Store.accepted' = Store.accepted + s->Store.head.next
  reachable' = reachable and sameNetwork and sameDaemons
}

pred loseWrite[s: Submission] {
  some s.(Network.writes)
  Network.writes' = Network.writes - s->Version
  pushes' = pushes and reachable' = reachable and sameStore and sameDaemons
}

pred push[d: Daemon, from: Daemon] {
  some from.inForce
  Network.pushes' = Network.pushes + d->from.inForce
  writes' = writes and reachable' = reachable and sameStore and sameDaemons
}

pred receive[d: Daemon, v: Version] {
  d->v in Network.pushes
  Network.pushes' = Network.pushes - d->v
  adopt[d, v]
  Ready' = Ready and writes' = writes and reachable' = reachable and sameStore
}

pred adopt[d: Daemon, v: Version] {
  (no d.inForce or versions/gt[v, d.inForce] or some NoVersionCheck) implies inForce' = inForce ++ d->v
  else inForce' = inForce
}

pred readStore[d: Daemon] {
  some Store.reachable
  adopt[d, Store.head]
  Ready' = Ready and reachable' = reachable and sameStore and sameNetwork
}

-- A daemon without disk loses everything.
pred restart[d: Daemon] {
  inForce' = inForce - d->Version
  Ready' = Ready - d
  reachable' = reachable and sameStore and sameNetwork
}

-- All peers of the model are reachable; unreachable ones are those without a version.
pred becomeReady[d: Daemon] {
  d not in Ready and some d.inForce
  let peers = (Daemon - d).inForce |
    (some Store.reachable and versions/gte[d.inForce, Store.head])
    or (no Store.reachable and some peers
      and (some FirstPeerSuffices or all v: peers | versions/gte[d.inForce, v]))
  Ready' = Ready + d
  inForce' = inForce and reachable' = reachable and sameStore and sameNetwork
}

pred outage {
  reachable' != reachable
  sameStore and sameNetwork and sameDaemons
}

pred idle { reachable' = reachable and sameStore and sameNetwork and sameDaemons }

pred step {
  idle or outage
  or some s: Submission | loseWrite[s] or some b: Version | submit[s, b] or applyWrite[s, b]
  or some d: Daemon {
    readStore[d] or restart[d] or becomeReady[d]
    or (some p: Daemon - d | push[d, p]) or some v: Version | receive[d, v]
  }
}

fact trace { init and always step }

-- A daemon that runs on never goes back.
pred monotonic {
  always all d: Daemon | some d.inForce and some d.inForce' implies versions/gte[d.inForce', d.inForce]
}

-- A daemon that becomes ready has at least the version of each peer that is ready.
pred startsUpToDate {
  always all d: Daemon - Ready | d in Ready' implies
    all p: Ready | versions/gte[d.inForce', p.inForce]
}

-- Each accepted submission was based on the version before the one that it created, so
-- that it replaced only what its operator had seen, and it was accepted once.
pred noLostUpdate {
  always all s: Submission, v: Version | s->v in Store.accepted implies once (s->v.prev in Network.writes)
}
pred acceptedOnce { always all s: Submission | lone s.(Store.accepted) }

-- Nothing is in force that was not accepted.
pred nothingInvented { always all d: Daemon | versions/lte[d.inForce, Store.head] }

-- A daemon never serves a version older than one that it served before a restart.
pred monotonicAcrossRestarts {
  always all d: Ready, v: Version | once (d in Ready and d.inForce = v) implies versions/gte[d.inForce, v]
}

pred faultless { no NoBaseCheck and no NoVersionCheck and no FirstPeerSuffices and no ForgetsSubmissions }

assert NeverReverts { faultless implies monotonic and startsUpToDate and nothingInvented }
assert NoLostUpdate { faultless implies noLostUpdate and acceptedOnce }
assert BrokenWithoutVersionCheck { no NoBaseCheck and no FirstPeerSuffices and no ForgetsSubmissions implies monotonic }
assert BrokenByFirstPeer { no NoBaseCheck and no NoVersionCheck and no ForgetsSubmissions implies startsUpToDate }
assert BrokenWithoutBaseCheck { no NoVersionCheck and no FirstPeerSuffices and no ForgetsSubmissions implies noLostUpdate }
assert BrokenByForgottenSubmission { no NoVersionCheck and no FirstPeerSuffices implies acceptedOnce }
assert LimitRestartInOutage { faultless implies monotonicAcrossRestarts }

check NeverReverts for 3 but 2 Part, 2 Submission, 1..9 steps
check NoLostUpdate for 3 but 2 Part, 2 Daemon, 1..10 steps
check BrokenWithoutVersionCheck for 3 but 2 Part, 2 Submission, 1..9 steps
check BrokenByFirstPeer for 3 but 2 Part, 2 Submission, 1..11 steps
check BrokenWithoutBaseCheck for 3 but 2 Part, 2 Daemon, 1..10 steps
check BrokenByForgottenSubmission for 3 but 2 Part, 2 Daemon, 1..10 steps
check LimitRestartInOutage for 2 but 1 Part, 1 Submission, 1..11 steps

-- Guards against a specification whose rules allow no daemon to start.
run StartsInAnOutage {
  faultless and some d: Daemon | eventually (restart[d] and eventually (no Store.reachable and becomeReady[d]
    and d.inForce != versions/first))
} for 3 but 2 Part, 2 Submission, 1..12 steps
