/*
 * "Not run" is true: the dispatch gate of one request, with a sender and a reporter on
 * different threads. Either may be paused between any two of its steps.
 */
module gate

abstract sig State {}
one sig Open, Sending, Closed extends State {}

abstract sig Report {}
one sig NotRun, Unknown extends Report {}

sig Runner {}

one sig Request {
  var gate: one State,
  -- dispatches whose first byte has not left
  var ready: set Runner,
  -- requests of which a byte may have arrived
  var wire: set Runner,
  var ran: set Runner,
  -- whether a byte was ever sent
  var sent: set Runner,
  var told: lone Report
}

-- Whether the reporter has seen an open gate; only the broken variant uses it.
var lone sig SawOpen {}

lone sig ChecksThenReports, SilenceIsRefusal {}

pred init {
  Request.gate = Open and no ready and no wire and no ran and no sent and no told and no SawOpen
}

pred same { gate' = gate and told' = told and SawOpen' = SawOpen }

pred dispatch[r: Runner] {
  Request.gate != Closed
  Request.gate' = Sending
  Request.ready' = Request.ready + r
  wire' = wire and ran' = ran and sent' = sent and told' = told and SawOpen' = SawOpen
}

pred send[r: Runner] {
  r in Request.ready
  Request.ready' = Request.ready - r
  Request.wire' = Request.wire + r
  Request.sent' = Request.sent + r
  ran' = ran and same
}

pred refuse[r: Runner] {
  r in Request.ready
  Request.ready' = Request.ready - r
  wire' = wire and ran' = ran and sent' = sent and same
}

pred execute[r: Runner] {
  r in Request.wire
  Request.wire' = Request.wire - r
  Request.ran' = Request.ran + r
  ready' = ready and sent' = sent and same
}

-- The deadline passes: one atomic transition decides what is reported.
pred close {
  no Request.told
  Request.gate = Open implies (Request.gate' = Closed and Request.told' = NotRun)
  Request.gate = Closed implies (gate' = gate and Request.told' = NotRun)
  Request.gate = Sending implies (gate' = gate and Request.told' = Unknown)
  ready' = ready and wire' = wire and ran' = ran and sent' = sent and SawOpen' = SawOpen
}

-- Every connection was refused before any byte; the sender reports and sends no more.
pred reportRefused {
  no Request.told and Request.gate = Sending and no Request.ready
  no Request.sent or some SilenceIsRefusal
  Request.gate' = Closed and Request.told' = NotRun
  ready' = ready and wire' = wire and ran' = ran and sent' = sent and SawOpen' = SawOpen
}

-- Broken: the gate is read, and the report follows without a transition of the gate.
pred check_ {
  some ChecksThenReports and Request.gate = Open
  some SawOpen'
  gate' = gate and told' = told and ready' = ready and wire' = wire and ran' = ran and sent' = sent
}
pred reportChecked {
  some SawOpen and no Request.told
  Request.told' = NotRun
  gate' = gate and ready' = ready and wire' = wire and ran' = ran and sent' = sent and SawOpen' = SawOpen
}

pred idle { ready' = ready and wire' = wire and ran' = ran and sent' = sent and same }

pred step {
  idle or close or reportRefused or check_ or reportChecked
  or some r: Runner | dispatch[r] or send[r] or refuse[r] or execute[r]
}

fact trace { init and always step }

pred truthful { always (Request.told = NotRun implies no Request.ran) }

assert NotRunIsTrue { no ChecksThenReports and no SilenceIsRefusal implies truthful }
assert BrokenByCheckThenReport { no SilenceIsRefusal implies truthful }
assert BrokenBySilence { no ChecksThenReports implies truthful }

check NotRunIsTrue for 3 but 1..14 steps
check BrokenByCheckThenReport for 3 but 1..10 steps
check BrokenBySilence for 3 but 1..10 steps

run RefusalIsReported {
  no ChecksThenReports and no SilenceIsRefusal
  some r: Runner | eventually (refuse[r] and eventually Request.told = NotRun)
} for 3 but 1..10 steps
