/*
 * Engine orders under a lease. Time is counted in ticks: a grant lasts three ticks, the
 * holder stops one tick (the margin) before its end, and an order arrives at most one tick
 * (the order timeout) after it was sent. A holder may be paused between its check and the
 * write of an order; without the fault LongPause the pause is shorter than the margin, so
 * that the order leaves before the lease ends.
 */
module lease
open util/ordering[Tick] as time
open util/ordering[Grant] as grants

sig Tick {}
one sig Clock { var now: one Tick }

-- Grants are numbered by the table service; the number is the fencing number.
sig Grant {}
var sig Granted in Grant {}

one sig Timing { var start: Grant -> lone Tick }

-- Orders whose holder has passed its check and not yet written them.
one sig Holders { var armed: Grant -> Engine }

abstract sig Engine {
  var orders: Grant -> lone Tick,
  var acted: lone Grant
}
sig Checking, Ignoring extends Engine {}

lone sig NoWait, LongPause, LateOrder, ActsAfterEnd {}

fun end[g: Grant]: lone Tick { g.(Timing.start).next.next.next }

pred init {
  Clock.now = time/first and no Granted and no start and no armed and no orders and no acted
}

pred sameOrders { orders' = orders and acted' = acted }

pred tick {
  some Clock.now.next and Clock.now' = Clock.now.next
  Granted' = Granted and start' = start and armed' = armed and sameOrders
}

-- Compare-and-set on the row; the next grant is given once the lease has ended. The
-- answer to the write may be lost, in which case the daemon does nothing more.
pred grant[g: Grant] {
  g not in Granted and g.prevs = Granted
  some g.prev implies (some end[g.prev] and time/gte[Clock.now, end[g.prev]])
  Granted' = Granted + g
  Timing.start' = Timing.start + g->Clock.now
  now' = now and armed' = armed and sameOrders
}

-- The holder checks that the lease lasts longer than the margin; for engines that ignore
-- fencing numbers, the successor of a lease also waits for the lease and the order timeout.
-- Engines that check fencing numbers need neither.
pred arm[g: Grant, e: Engine] {
  g in Granted
  e in Ignoring implies {
    (some end[g] implies time/lt[Clock.now.next, end[g]]) or some ActsAfterEnd
    waited[g] or some NoWait
  }
  Holders.armed' = Holders.armed + g->e
  now' = now and Granted' = Granted and start' = start and sameOrders
}

pred waited[g: Grant] {
  some g.prev implies (some end[g.prev] and time/gt[Clock.now, end[g.prev].next])
}

pred write[g: Grant, e: Engine] {
  g->e in Holders.armed
  e in Ignoring implies
    ((some end[g] implies time/lt[Clock.now, end[g]]) or some LongPause or some ActsAfterEnd)
  orders' = orders + e->g->Clock.now
  Holders.armed' = Holders.armed - g->e
  now' = now and Granted' = Granted and start' = start and acted' = acted
}

pred arrive[g: Grant, e: Engine] {
  some e.orders[g]
  e in Ignoring implies (time/lte[Clock.now, e.orders[g].next] or no e.orders[g].next or some LateOrder)
  orders' = orders - e->g->Tick
  (e in Checking and some e.acted and grants/lt[g, e.acted]) implies acted' = acted else acted' = acted ++ e->g
  now' = now and Granted' = Granted and start' = start and armed' = armed
}

pred idle {
  now' = now and Granted' = Granted and start' = start and armed' = armed and sameOrders
}

pred step {
  idle or tick or some g: Grant {
    grant[g] or some e: Engine | arm[g, e] or write[g, e] or arrive[g, e]
  }
}

fact trace { init and always step }

-- An engine never acts on an order of a lease after one of a later lease.
pred inOrder[engines: set Engine] {
  always all e: engines | some e.acted and some e.acted' implies grants/gte[e.acted', e.acted]
}

pred punctual { no NoWait and no LongPause and no LateOrder and no ActsAfterEnd }

assert CheckingEnginesObeyInOrder { inOrder[Checking] }
assert IgnoringEnginesObeyInOrder { punctual implies inOrder[Ignoring] }
assert BrokenWithoutWait { no LongPause and no LateOrder and no ActsAfterEnd implies inOrder[Ignoring] }
assert BrokenAfterEnd { no NoWait and no LongPause and no LateOrder implies inOrder[Ignoring] }
assert LimitLongPause { no NoWait and no LateOrder and no ActsAfterEnd implies inOrder[Ignoring] }
assert LimitLateOrder { no NoWait and no LongPause and no ActsAfterEnd implies inOrder[Ignoring] }

check CheckingEnginesObeyInOrder for 3 Grant, 2 Engine, 7 Tick, 1..14 steps
check IgnoringEnginesObeyInOrder for 2 Grant, 1 Engine, 9 Tick, 1..18 steps
check BrokenWithoutWait for 2 Grant, 1 Engine, 9 Tick, 1..18 steps
check BrokenAfterEnd for 2 Grant, 1 Engine, 9 Tick, 1..18 steps
check LimitLongPause for 2 Grant, 1 Engine, 9 Tick, 1..18 steps
check LimitLateOrder for 2 Grant, 1 Engine, 9 Tick, 1..18 steps

run SuccessorActs {
  punctual and some Ignoring and eventually Ignoring.acted = grants/first
  eventually Ignoring.acted = grants/last
} for exactly 2 Grant, exactly 1 Engine, 9 Tick, 1..18 steps
