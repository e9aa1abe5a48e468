package io.bilberryvalve.policy.queue;

import java.util.List;
import java.util.function.Predicate;

import io.bilberryvalve.policy.queue.QueueReplay.Call;
import io.bilberryvalve.policy.queue.QueueReplay.Kind;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays the load patterns of large fleets against the queue.
 */
class LoadPatternTests {

	private static long count(List<Call> calls, Predicate<Call> which) {
		return calls.stream().filter(which).count();
	}

	// Guards against urgent requests that are rejected for the wait of less urgent ones,
	// which they overtake. One kind jumps from 60 to 144 per second for 4 s, where 80 are
	// served.
	@Example
	void urgentRequestsAreServedWhileOneKindJumps() {
		QueueReplay replay = new QueueReplay(8);
		Kind jumping = Kind.of("jumping", 1).withLimits(900, 1000);
		replay.addStream(0, 8000, 19, Kind.of("urgent", 0).withLimits(150, 200));
		replay.addStream(0, 2000, 60, jumping);
		replay.addStream(2000, 6000, 144, jumping);
		replay.addStream(6000, 8000, 60, jumping);
		replay.run(10_000);
		assertThat(replay.calls((call) -> call.isOf("urgent"))).allMatch(Call::isOnTime)
			.allMatch((call) -> call.refusals() == 0);
		List<Call> granted = replay.calls((call) -> call.isOf("jumping") && call.isGranted());
		assertThat(count(granted, Call::isOnTime)).isGreaterThan(granted.size() * 9 / 10);
		// The slots are not left free: 61 per second remain for the kind that jumps.
		assertThat(count(granted, (call) -> call.grantedAt() >= 2000 && call.grantedAt() < 6000))
			.isGreaterThan(61 * 4 * 95 / 100);
	}

	// Guards against requests that are rejected on the basis of an assumed rate, before
	// any was measured: the queue drains in 400 ms, within the limit of 1 s.
	@Example
	void firstBurstAfterAStartIsNotRejected() {
		QueueReplay replay = new QueueReplay(10);
		for (int i = 0; i < 45; i++) {
			replay.add(0, Kind.of("team", 1));
		}
		replay.run(2000);
		assertThat(replay.calls((call) -> true)).allMatch(Call::isGranted).allMatch((call) -> call.refusals() == 0);
	}

	// Guards against a team that takes the slots of the others by sending more requests:
	// 300 per second of one team, 5 of each of the others, and 50 are served.
	@Example
	void floodOfOneTeamDelaysOnlyItself() {
		QueueReplay replay = new QueueReplay(5);
		replay.addStream(0, 8000, 300, Kind.of("flood", 1));
		for (String team : List.of("a", "b", "c", "d")) {
			replay.addStream(1000, 8000, 5, Kind.of(team, 1));
		}
		replay.run(10_000);
		assertThat(replay.calls((call) -> !call.isOf("flood"))).hasSize(140)
			.allMatch(Call::isOnTime)
			.allMatch((call) -> call.refusals() == 0);
		// What the others leave is used.
		assertThat(replay.calls((call) -> call.isOf("flood") && call.isGranted() && call.grantedAt() < 8000))
			.hasSizeGreaterThan((50 * 8 - 140) * 95 / 100);
	}

	// Guards against a share by number of requests: those of one team cost ten times as
	// much, so that it gets a tenth as many slots.
	@Example
	void teamsShareByCost() {
		QueueReplay replay = new QueueReplay(10);
		Kind large = new Kind("large", 1, 1000, 1, 500, 900, 1000, 1, 0);
		Kind small = new Kind("small", 1, 100, 1, 50, 900, 1000, 1, 0);
		replay.addStream(0, 8000, 200, small);
		replay.addStream(0, 8000, 100, large);
		replay.run(8000);
		double smallCost = 100.0 * count(replay.calls((call) -> call.isOf("small")), Call::isGranted);
		double largeCost = 1000.0 * count(replay.calls((call) -> call.isOf("large")), Call::isGranted);
		assertThat(smallCost / largeCost).isBetween(0.75, 1.33);
	}

	// Guards against callers that gain slots by returning every 10 ms, over callers that
	// wait as they were told.
	@Example
	void callersThatRetryAtOnceGainNothing() {
		QueueReplay replay = new QueueReplay(4);
		replay.addStream(0, 6000, 60, Kind.of("impatient", 1).withRetries(200, 10));
		replay.addStream(0, 6000, 60, Kind.of("patient", 1).withRetries(10, 0));
		replay.run(8000);
		long patient = count(replay.calls((call) -> call.isOf("patient")), Call::isGranted);
		long impatient = count(replay.calls((call) -> call.isOf("impatient")), Call::isGranted);
		assertThat(patient).isGreaterThan(impatient * 85 / 100);
		assertThat(patient + impatient).isGreaterThan(40 * 8 * 95 / 100);
	}

	// Guards against callers who left but still count as ahead, or are charged to their
	// team: those who stay would be rejected or wait behind the other team.
	@Example
	void callersWhoLeaveCostNothing() {
		QueueReplay replay = new QueueReplay(5);
		replay.addStream(0, 3000, 50, Kind.of("other", 1));
		for (int at = 500; at < 2500; at += 10) {
			replay.leaveAt(at + 60, replay.add(at, Kind.of("leaving", 1)));
		}
		replay.addStream(500, 2500, 20, Kind.of("leaving", 1).withLimits(399, 1000));
		replay.run(5000);
		assertThat(replay.calls((call) -> call.isOf("leaving") && call.kind().onTimeMillis() == 399))
			.allMatch(Call::isOnTime)
			.allMatch((call) -> call.refusals() == 0);
	}

	// Guards against requests that are held for their whole limit in a burst, and against
	// free slots meanwhile.
	@Example
	void burstOfAllKindsIsRejectedEarlyOrServedOnTime() {
		QueueReplay replay = new QueueReplay(20);
		for (int i = 0; i < 6; i++) {
			Kind kind = Kind.of("team-" + i % 3, 1 + i / 3).withSize(100 * (1 + i), 1 + i % 2, 60 * (1 + i));
			replay.addStream(0, 1000, 5, kind);
			replay.addStream(1000, 4000, 60, kind);
		}
		replay.run(6000);
		List<Call> granted = replay.calls(Call::isGranted);
		assertThat(count(granted, Call::isOnTime)).isGreaterThan(granted.size() * 9 / 10);
		List<Call> refused = replay.calls((call) -> call.refusals() > 0 && call.firstAt() > 1500);
		assertThat(refused).isNotEmpty();
		assertThat(count(refused, (call) -> call.longestRefusedWait() <= call.kind().limitMillis() / 2))
			.isGreaterThan(refused.size() * 9 / 10);
		// The memory is in use during the burst.
		assertThat(granted.stream()
			.filter((call) -> call.grantedAt() >= 1500 && call.grantedAt() < 4000)
			.mapToLong((call) -> call.kind().memory() * call.kind().runMillis())
			.sum()).isGreaterThan(20 * 2500 * 9 / 10);
	}

	// Guards against callers that returned after a restart of all VMs and are late by
	// now, and who would delay all that follow.
	@Example
	void requestsThatCanBeOnTimeAreServedAfterARestart() {
		QueueReplay replay = new QueueReplay(10);
		Kind returning = Kind.of("team", 1).withLimits(400, 3000);
		for (int i = 0; i < 600; i++) {
			replay.add(i / 20, returning);
		}
		replay.addStream(600, 5000, 60, Kind.of("team", 1).withLimits(400, 3000));
		replay.run(8000);
		List<Call> fresh = replay.calls((call) -> call.firstAt() >= 600);
		assertThat(count(fresh, Call::isOnTime)).isGreaterThan(fresh.size() * 95 / 100);
	}

	// Guards against a large request that never fits, since small ones take all memory
	// that becomes free.
	@Example
	void largeRequestGetsTheNextCapacityAfterHalfOfItsTime() {
		QueueReplay replay = new QueueReplay(10);
		replay.addStream(0, 3000, 90, Kind.of("team", 1).withLimits(900, 1000));
		Call large = replay.add(1003, Kind.of("team", 1).withSize(800, 8, 100).withLimits(900, 1000));
		replay.run(4000);
		assertThat(large.isOnTime()).isTrue();
		// It does not block the others before.
		assertThat(large.grantedAt()).isGreaterThanOrEqualTo(1003 + 450);
		assertThat(count(replay.calls((call) -> true),
				(call) -> call.grantedAt() >= 1003 && call.grantedAt() < 1003 + 450))
			.isGreaterThan(35);
	}

	// Guards against requests that fit nowhere and for which capacity would be reserved
	// again and again.
	@Example
	void requestsThatFitNowhereDoNotBlockTheOthersForLong() {
		QueueReplay replay = new QueueReplay(10);
		replay.addStream(0, 9000, 95, Kind.of("team", 1));
		replay.addStream(0, 9000, 4, Kind.of("other", 1).withSize(2000, 11, 100).withLimits(900, 1000));
		replay.run(9000);
		assertThat(count(replay.calls((call) -> call.isOf("team")), Call::isGranted)).isGreaterThan(95 * 9 * 8 / 10);
	}

	// Guards against a team that pays for requests that were rejected: when its callers
	// return, they precede those of a team that was served meanwhile.
	@Example
	void rejectedRequestsAreNotChargedToTheirTeam() {
		QueueReplay replay = new QueueReplay(5);
		replay.addStream(0, 6000, 100, Kind.of("served", 1));
		Kind rejected = Kind.of("rejected", 1).withLimits(25, 30);
		for (int i = 0; i < 40; i++) {
			replay.add(2000 + i, rejected);
		}
		for (int i = 0; i < 15; i++) {
			replay.add(2200, Kind.of("rejected", 1));
		}
		replay.run(8000);
		assertThat(replay.calls((call) -> call.isOf("rejected") && call.refusals() > 0)).hasSizeGreaterThan(30);
		// Their credit of half a second is worth 25 requests of 20 ms.
		assertThat(replay.calls((call) -> call.isOf("rejected") && call.firstAt() == 2200)).allMatch(Call::isGranted)
			.allMatch((call) -> call.grantedAt() < 2200 + 350);
	}

	// Guards against a team that saves up credit while it has no requests and then keeps
	// all others waiting: it is ahead by the work of at most one second.
	@Example
	void idleTeamReturnsWithLittleCredit() {
		QueueReplay replay = new QueueReplay(10);
		replay.addStream(0, 600, 100, Kind.of("returning", 1));
		replay.addStream(0, 12_000, 200, Kind.of("busy", 1));
		replay.addStream(8000, 12_000, 200, Kind.of("returning", 1));
		replay.run(12_000);
		List<Call> busy = replay
			.calls((call) -> call.isOf("busy") && call.grantedAt() >= 9000 && call.grantedAt() < 11_000);
		// Half of 100 per second, in the 2 s after the credit of 1 s is used up.
		assertThat(busy).hasSizeBetween(80, 120);
	}

}
