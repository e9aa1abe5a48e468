/*
 * At most once for one key chosen by a caller, with a record in the table service.
 * An attempt is one reservation with its own token, made by any entry; a retry at another
 * entry is another attempt. Inserts may be applied late, more than once or never; answers
 * may be lost; an owner may be paused between any two of its steps, since no step is due.
 */
module execution

abstract sig Phase {}
one sig Idle, Reserving, Dispatched, Releasing, Settled extends Phase {}

abstract sig Answer {}
one sig Committed, Conflicted extends Answer {}

-- Expectation of an insert: no row, or the released row of another attempt.
one sig Absent {}

sig Attempt {
  var phase: one Phase,
  var inserts: set (Absent + Attempt),
  var heard: lone Answer
}

one sig Row {
  var holder: lone Attempt,
  var released: lone Attempt
}

one sig Upstream {
  var calls: set Attempt,
  var runs: set Attempt
}

var sig ToldNotRun in Attempt {}

-- Faults that the broken variants introduce.
lone sig TakesOver, IgnoresToken, ReleasesDispatched {}

pred init {
  Attempt.phase = Idle and no inserts and no heard
  no holder and no released and no calls and no runs and no ToldNotRun
}

pred sameRow { holder' = holder and released' = released }
pred sameUpstream { calls' = calls and runs' = runs }
pred sameMessages { inserts' = inserts and heard' = heard }

pred reserve[a: Attempt] {
  a.phase = Idle
  phase' = phase ++ a->Reserving
  inserts' = inserts + a->Absent
  heard' = heard and ToldNotRun' = ToldNotRun and sameRow and sameUpstream
}

-- The insert stays available, so that the store may apply a second copy of it.
pred applyInsert[a: Attempt, e: Absent + Attempt] {
  e in a.inserts
  let fits = (e = Absent implies no Row.holder else (Row.holder = e and Row.released = e)) {
    fits implies (Row.holder' = a and no Row.released' and heard' = heard ++ a->Committed)
    else (sameRow and heard' = heard ++ a->Conflicted)
  }
  phase' = phase and inserts' = inserts and ToldNotRun' = ToldNotRun and sameUpstream
}

pred loseInsert[a: Attempt, e: Absent + Attempt] {
  e in a.inserts
  inserts' = inserts - a->e
  heard' = heard and phase' = phase and ToldNotRun' = ToldNotRun and sameRow and sameUpstream
}

pred loseAnswer[a: Attempt] {
  some a.heard
  heard' = heard - a->Answer
  inserts' = inserts and phase' = phase and ToldNotRun' = ToldNotRun and sameRow and sameUpstream
}

pred dispatch[a: Attempt] {
  phase' = phase ++ a->Dispatched
  Upstream.calls' = Upstream.calls + a
  runs' = runs and ToldNotRun' = ToldNotRun and sameMessages
}

pred committed[a: Attempt] {
  a.phase = Reserving and a.heard = Committed
  dispatch[a] and sameRow
}

-- The row is read after a lost answer or a conflict and its token compared.
pred resolveOwn[a: Attempt] {
  a.phase = Reserving
  Row.holder = a or (some IgnoresToken and some Row.holder)
  Row.released != Row.holder
  dispatch[a] and sameRow
}

pred resolveReleased[a: Attempt] {
  a.phase = Reserving
  some Row.released and Row.released = Row.holder and Row.holder != a
  inserts' = inserts + a->Row.holder
  heard' = heard and phase' = phase and ToldNotRun' = ToldNotRun and sameRow and sameUpstream
}

pred resolveForeign[a: Attempt] {
  a.phase = Reserving
  some Row.holder - a and Row.released != Row.holder
  phase' = phase ++ a->Settled
  ToldNotRun' = ToldNotRun and sameMessages and sameRow and sameUpstream
}

-- Broken: the record of an owner that seems dead is given to another attempt.
pred takeOver[a: Attempt] {
  some TakesOver
  a.phase = Reserving and some Row.holder - a
  Row.holder' = a and no Row.released'
  dispatch[a]
}

pred withdraw[a: Attempt] {
  a.phase = Reserving or (some ReleasesDispatched and a.phase = Dispatched)
  phase' = phase ++ a->Releasing
  ToldNotRun' = ToldNotRun + a
  sameMessages and sameRow and sameUpstream
}

-- The upstream refused the connection before any byte was sent.
pred notSent[a: Attempt] {
  a.phase = Dispatched and a in Upstream.calls
  phase' = phase ++ a->Releasing
  Upstream.calls' = Upstream.calls - a
  ToldNotRun' = ToldNotRun + a
  runs' = runs and sameMessages and sameRow
}

pred applyRelease[a: Attempt] {
  a.phase = Releasing and Row.holder = a
  holder' = holder and Row.released' = a
  phase' = phase and ToldNotRun' = ToldNotRun and sameMessages and sameUpstream
}

pred execute[a: Attempt] {
  a in Upstream.calls
  Upstream.calls' = Upstream.calls - a
  Upstream.runs' = Upstream.runs + a
  phase' = phase and ToldNotRun' = ToldNotRun and sameMessages and sameRow
}

pred loseCall[a: Attempt] {
  a in Upstream.calls
  Upstream.calls' = Upstream.calls - a
  runs' = runs and phase' = phase and ToldNotRun' = ToldNotRun and sameMessages and sameRow
}

pred idle {
  phase' = phase and ToldNotRun' = ToldNotRun and sameMessages and sameRow and sameUpstream
}

pred step {
  idle or some a: Attempt {
    reserve[a] or loseAnswer[a] or committed[a] or resolveOwn[a] or resolveReleased[a] or resolveForeign[a]
    or takeOver[a] or withdraw[a] or notSent[a] or applyRelease[a] or execute[a] or loseCall[a]
    or some e: Absent + Attempt | applyInsert[a, e] or loseInsert[a, e]
  }
}

fact trace { init and always step }

pred faultless { no TakesOver and no IgnoresToken and no ReleasesDispatched }
pred atMostOnce { always lone Upstream.runs }
pred notRunIsTrue { always no ToldNotRun & Upstream.runs }

assert AtMostOnce { faultless implies atMostOnce }
assert NotRunIsTrue { faultless implies notRunIsTrue }
assert BrokenByTakeOver { no IgnoresToken and no ReleasesDispatched implies atMostOnce }
assert BrokenByIgnoredToken { no TakesOver and no ReleasesDispatched implies atMostOnce }
assert BrokenByReleaseAfterDispatch { no TakesOver and no IgnoresToken implies atMostOnce }
assert BrokenNotRun { no TakesOver and no IgnoresToken implies notRunIsTrue }

check AtMostOnce for 3 but 1..11 steps
check NotRunIsTrue for 3 but 1..11 steps
check BrokenByTakeOver for 2 but 1..11 steps
check BrokenByIgnoredToken for 2 but 1..11 steps
check BrokenByReleaseAfterDispatch for 2 but 1..13 steps
check BrokenNotRun for 2 but 1..11 steps

-- Guards against a specification whose rules allow nothing to happen: a lost answer is
-- resolved, and a second attempt runs after a release.
run LostAnswerIsResolved {
  faultless and some a: Attempt | eventually (loseAnswer[a] and eventually (resolveOwn[a] and eventually execute[a]))
} for 2 but 1..11 steps
run RetryRunsAfterRelease {
  faultless and some disj a, b: Attempt | eventually (applyRelease[a] and eventually execute[b])
} for 2 but 1..13 steps
