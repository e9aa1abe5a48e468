/*
 * At most once for keys that an entry issues and keeps in memory only. A key names the
 * incarnation of its issuer, which alone may dispatch it; other entries forward calls to
 * it. Forwarded calls may be late, lost or delivered twice, and an issuer may restart.
 */
module issued

sig Incarnation { next: lone Incarnation }
fact { no i: Incarnation | i in i.^next }

-- The entry that issues the keys, as the sequence of its incarnations.
one sig Issuer { var running: lone Incarnation }

sig Key { var by: lone Incarnation }

abstract sig State {}
one sig Free, Used extends State {}

one sig Memory { var state: Key -> lone State }

-- Calls that may still arrive at the issuer.
one sig Network {
  var calls: set Key,
  var sends: set Key,
  var executions: set Key,
  var twice: set Key
}

var sig ToldExpired in Key {}

lone sig AnyIncarnationDispatches, AbsentIsUnused {}

pred init {
  one Issuer.running and no by and no state and no calls and no sends and no executions and no twice
  no ToldExpired
}

pred sameNetwork { calls' = calls and sends' = sends and executions' = executions and twice' = twice }

pred issue[k: Key] {
  some Issuer.running and no k.by and historically no k.by
  by' = by + k->Issuer.running
  Memory.state' = Memory.state + k->Free
  running' = running and sameNetwork and ToldExpired' = ToldExpired
}

-- A caller calls or repeats with a key, at any entry.
pred call[k: Key] {
  some k.by
  Network.calls' = Network.calls + k
  sends' = sends and executions' = executions and twice' = twice
  running' = running and by' = by and state' = state and ToldExpired' = ToldExpired
}

pred dispatch[k: Key] {
  k in Network.calls and some Issuer.running
  (k.by = Issuer.running and k.(Memory.state) = Free)
    or (some AnyIncarnationDispatches and k.by != Issuer.running and k.(Memory.state) != Used)
    or (some AbsentIsUnused and no k.(Memory.state))
  Memory.state' = Memory.state ++ k->Used
  Network.sends' = Network.sends + k
  calls' = calls and executions' = executions and twice' = twice
  running' = running and by' = by and ToldExpired' = ToldExpired
}

-- An unused key is refused after its lifetime; nothing ran.
pred expire[k: Key] {
  k.by = Issuer.running and k.(Memory.state) = Free
  Memory.state' = Memory.state - k->Free
  ToldExpired' = ToldExpired + k
  running' = running and by' = by and sameNetwork
}

pred execute[k: Key] {
  k in Network.sends
  Network.sends' = Network.sends - k
  Network.executions' = Network.executions + k
  Network.twice' = Network.twice + (k & Network.executions)
  calls' = calls and running' = running and by' = by and state' = state and ToldExpired' = ToldExpired
}

pred restart {
  some Issuer.running.next
  Issuer.running' = Issuer.running.next
  no Memory.state'
  by' = by and sameNetwork and ToldExpired' = ToldExpired
}

pred idle {
  running' = running and by' = by and state' = state and sameNetwork and ToldExpired' = ToldExpired
}

pred step { idle or restart or some k: Key | issue[k] or call[k] or dispatch[k] or expire[k] or execute[k] }

fact trace { init and always step }

pred atMostOnce { always no Network.twice }
pred notRunIsTrue { always no ToldExpired & Network.executions }

assert AtMostOnce { no AnyIncarnationDispatches and no AbsentIsUnused implies atMostOnce }
assert NotRunIsTrue { no AnyIncarnationDispatches and no AbsentIsUnused implies notRunIsTrue }
assert BrokenByOtherIncarnation { no AbsentIsUnused implies atMostOnce }
assert BrokenByAbsentKey { no AnyIncarnationDispatches implies atMostOnce }
assert BrokenNotRun { no AnyIncarnationDispatches implies notRunIsTrue }

check AtMostOnce for 2 Key, 3 Incarnation, 1..12 steps
check NotRunIsTrue for 2 Key, 3 Incarnation, 1..12 steps
check BrokenByOtherIncarnation for 2 Key, 3 Incarnation, 1..10 steps
check BrokenByAbsentKey for 2 Key, 3 Incarnation, 1..10 steps
check BrokenNotRun for 2 Key, 3 Incarnation, 1..10 steps

-- Guards against a specification whose rules allow nothing to run.
run RunsAfterARepetition {
  no AnyIncarnationDispatches and no AbsentIsUnused
  some k: Key | eventually (call[k] and after eventually (call[k] and eventually execute[k]))
} for 2 Key, 3 Incarnation, 1..10 steps
