package io.bilberryvalve.policy.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionQueueTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private final ManualClock clock = new ManualClock();

	private final AdmissionQueue<String> queue = new AdmissionQueue<>(this.clock, new QueueLimits(50, 500));

	// Guards requirement R8: busy teams share tokens by weight, not the number of
	// requests.
	@Example
	void servesBusyTeamsByTokenCost() {
		allocate(1, 0, 0);
		Map<TeamKey, Integer> served = new HashMap<>();
		for (int i = 0; i < 4000; i++) {
			for (String team : List.of("a/1", "a/3", "b/1")) {
				offer(team, team.equals("b/1") ? 10 : 100, 0);
			}
			AdmissionTicket<String> next = this.queue.poll().orElseThrow();
			served.merge(next.team(), next.cost(), Integer::sum);
			this.queue.finish(next, next.cost());
		}
		double total = served.values().stream().mapToInt(Integer::intValue).sum();
		assertThat(served.get(key("a/1")) / total).isBetween(0.12, 0.13);
		assertThat(served.get(key("a/3")) / total).isBetween(0.37, 0.38);
		assertThat(served.get(key("b/1")) / total).isBetween(0.49, 0.51);
	}

	// Guards against a team that gets more than its share because its costs are predicted
	// too low.
	@Example
	void correctsWrongPredictions() {
		allocate(1, 0, 0);
		Map<TeamKey, Integer> served = new HashMap<>();
		for (int i = 0; i < 2000; i++) {
			offer("a/1", 10, 0);
			offer("b/1", 100, 0);
			AdmissionTicket<String> next = this.queue.poll().orElseThrow();
			served.merge(next.team(), 100, Integer::sum);
			this.queue.finish(next, 100);
		}
		assertThat((double) served.get(key("a/1")) / served.get(key("b/1"))).isBetween(0.98, 1.02);
	}

	// Guards against requests of low priority that starve while requests of higher
	// priority keep arriving.
	@Example
	void lowPriorityWaitsAtMostItsHeadStart() {
		allocate(1, 0, 0);
		AdmissionTicket<String> low = accepted(offer("a/1", 10, -10));
		long start = this.clock.millis();
		boolean started = false;
		for (int i = 0; i < 2000 && !started; i++) {
			offer("a/1", 10, 10);
			AdmissionTicket<String> next = this.queue.poll().orElseThrow();
			started = next == low;
			this.queue.finish(next, 10);
			this.clock.advance(Duration.ofMillis(10));
		}
		assertThat(started).isTrue();
		assertThat(this.clock.millis() - start).isBetween(9_000L, 20 * AdmissionTicket.HEAD_START_MILLIS + 20);
	}

	// Guards against requests that wait although their deadline cannot be met, and
	// against the rejection of a request that can meet its deadline.
	@Example
	void rejectsRequestThatCannotMeetDeadline() {
		allocate(1, 0, 100);
		offer("a/1", 500, 0);
		this.queue.poll().orElseThrow();
		offer("a/1", 500, 0);
		offer("a/1", 500, 0);
		AdmissionQueue.OfferResult<String> late = this.queue.offer(key("a/1"), 10, 0, Duration.ofSeconds(9), "");
		assertThat(late).isInstanceOfSatisfying(AdmissionQueue.Rejected.class,
				(rejection) -> assertThat(rejection.retryAfter()).isEqualTo(Duration.ofSeconds(1)));
		assertThat(this.queue.offer(key("a/1"), 10, 0, Duration.ofSeconds(11), ""))
			.isInstanceOf(AdmissionQueue.Accepted.class);
	}

	@Example
	void limitsWaitingRequestsPerTeam() {
		List<Object> rejected = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			if (offer("a/1", 1, 0) instanceof AdmissionQueue.Rejected<String> rejection) {
				rejected.add(rejection);
			}
		}
		assertThat(rejected).hasSize(10);
		assertThat(offer("a/3", 1, 0)).isInstanceOf(AdmissionQueue.Accepted.class);
	}

	// Guards requirement R3: a request that was reported as not run must not start later.
	@Example
	void expiredAndCancelledRequestsNeverStart() {
		AdmissionTicket<String> expired = accepted(this.queue.offer(key("a/1"), 1, 0, Duration.ofSeconds(1), ""));
		AdmissionTicket<String> cancelled = accepted(offer("b/1", 1, 0));
		this.clock.advance(Duration.ofSeconds(1));
		assertThat(this.queue.expire()).containsExactly(expired);
		assertThat(this.queue.cancel(cancelled)).isTrue();
		assertThat(this.queue.cancel(cancelled)).isFalse();
		allocate(10, 0, 0);
		assertThat(this.queue.poll()).isEmpty();
		assertThat(this.queue.waiting()).isZero();
	}

	// Guards against a second call of finish that frees another stream.
	@Example
	void finishTakesEffectOnce() {
		allocate(2, 0, 0);
		offer("a/1", 1, 0);
		offer("a/1", 1, 0);
		AdmissionTicket<String> first = this.queue.poll().orElseThrow();
		this.queue.poll().orElseThrow();
		this.queue.finish(first, 1);
		this.queue.finish(first, 1);
		assertThat(this.queue.running()).isEqualTo(1);
	}

	// Guards against a club with a flood of requests that uses the overdraft meant for
	// the other clubs.
	@Example
	void overdraftIsOnlyForClubsBelowTheirGuarantee() {
		allocate(4, 1, 0);
		for (int i = 0; i < 10; i++) {
			offer("a/1", 1, 0);
		}
		for (int i = 0; i < 4; i++) {
			assertThat(this.queue.poll()).isPresent();
		}
		assertThat(this.queue.poll()).isEmpty();
		offer("b/1", 1, 0);
		assertThat(this.queue.poll().orElseThrow().team()).isEqualTo(key("b/1"));
		offer("b/1", 1, 0);
		assertThat(this.queue.poll()).isEmpty();
	}

	private void allocate(int limit, int overdraft, double tokensPerSecond) {
		Map<ClubId, Double> guarantees = Map.of(new ClubId("a"), limit / 2.0, new ClubId("b"), limit / 2.0);
		ShareWeights weights = new ShareWeights(Map.of(new ClubId("a"), 50.0, new ClubId("b"), 50.0),
				Map.of(key("a/1"), 1.0, key("a/3"), 3.0));
		this.queue.setAllocation(new Allocation(limit, overdraft, guarantees, ShareRates.NONE, tokensPerSecond),
				weights);
	}

	private AdmissionQueue.OfferResult<String> offer(String team, int cost, int priority) {
		return this.queue.offer(key(team), cost, priority, TIMEOUT, team);
	}

	private static AdmissionTicket<String> accepted(AdmissionQueue.OfferResult<String> offer) {
		return ((AdmissionQueue.Accepted<String>) offer).ticket();
	}

	private static TeamKey key(String text) {
		return new TeamKey(new ClubId(text.substring(0, 1)), new TeamId(text.substring(2)));
	}

}
