package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.relay.ReservationRequest.Cause;
import io.bilberryvalve.gateway.relay.ReservationRequest.Rejection;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.Refusal;
import io.bilberryvalve.policy.queue.RequestCost;
import io.bilberryvalve.policy.queue.RequestDemand;
import io.bilberryvalve.policy.queue.WaitQueue;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the queue of a service on a paused clock, with a runner that is only counted.
 */
class ReservationQueueTests {

	private static final ListedRunner RUNNER = new ListedRunner(new RunnerId("runner"), new Address("127.0.0.1", 1),
			"app", new DataCentreId("a"), 100, false, null, null, 1, 0);

	private final ManualClock clock = new ManualClock();

	private final LoadTracker loadTracker = new LoadTracker(this.clock);

	private final CountedCapacity capacity = new CountedCapacity();

	private final ReservationQueue queue = new ReservationQueue(this.capacity, this.loadTracker, this.clock);

	private Outcome submit(int priority, String team, int tokens, long limitMillis) {
		return submit(priority, team, tokens, limitMillis, Set.of());
	}

	private Outcome submit(int priority, String team, int tokens, long limitMillis, Set<RunnerId> excluded) {
		long now = this.clock.millis();
		RequestSize size = new RequestSize(tokens, 0);
		RequestDemand demand = new RequestDemand(priority, team, RequestCost.of(size),
				new WaitQueue.WaitLimits(now + limitMillis, now + limitMillis));
		Outcome outcome = new Outcome();
		outcome.request = new ReservationRequest(size, demand, excluded, !excluded.isEmpty(), outcome);
		this.queue.submit(outcome.request);
		return outcome;
	}

	private void release(Reservation reservation) {
		this.capacity.free += reservation.size().totalTokens();
		this.queue.release(reservation, true);
	}

	// Serves 100 tokens each 10 ms for 200 ms, so that the rate is measured.
	private void measureRate() {
		Reservation current = submit(1, "a", 100, 5000).reservation;
		List<Outcome> waiting = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			waiting.add(submit(1, "a", 100, 5000));
		}
		for (Outcome next : waiting) {
			this.clock.advance(Duration.ofMillis(10));
			release(current);
			current = next.reservation;
			assertThat(current).isNotNull();
		}
		assertThat(this.queue.admittedCostPerSecond()).isBetween(9000.0, 11_000.0);
	}

	@Example
	void requestThatFitsIsGrantedDuringTheCall() {
		this.capacity.free = 100;
		assertThat(submit(1, "a", 100, 1000).reservation).isNotNull();
		assertThat(this.queue.waitingCount()).isZero();
	}

	// Guards against small requests that are rejected for the wait of a large one that
	// fits nowhere, while slots are free for them.
	@Example
	void requestIsNotRejectedWhileASlotIsFreeForIt() {
		this.capacity.free = 100;
		measureRate();
		Outcome large = submit(1, "a", 100_000, 900);
		assertThat(large.isPending()).isTrue();
		this.capacity.free = 100;
		assertThat(submit(1, "a", 50, 1000).reservation).isNotNull();
		assertThat(submit(1, "a", 50, 1000).reservation).isNotNull();
		assertThat(submit(1, "a", 50, 1000).rejection).isNotNull();
	}

	// Guards against rejections that the log cannot explain, and callers that return
	// before the requests ahead of them are served.
	@Example
	void rejectionNamesWhatDecidedIt() {
		this.capacity.free = 100;
		measureRate();
		// The last one waits 800 ms.
		for (int i = 0; i < 9; i++) {
			assertThat(submit(1, "a", 1000, 850).isPending()).isTrue();
		}
		Rejection rejection = submit(1, "a", 1000, 860).rejection;
		assertThat(rejection).isNotNull();
		assertThat(rejection.cause()).isEqualTo(Cause.EXPECTED_WAIT);
		assertThat(rejection.retryMillis()).isBetween(9000 / 11L, 1500L);
		Refusal refusal = rejection.refusal();
		assertThat(refusal).isNotNull();
		assertThat(refusal.priority()).isEqualTo(1);
		assertThat(refusal.costAhead()).isEqualTo(9000);
		assertThat(refusal.costPerSecond()).isBetween(9000.0, 11_000.0);
		// A more urgent request and another team are not behind these.
		assertThat(submit(0, "a", 1000, 860).isPending()).isTrue();
		assertThat(submit(1, "b", 1000, 860).isPending()).isTrue();
	}

	// Guards against callers that return before lost capacity is replaced.
	@Example
	void callersReturnLaterWhileCapacityIsRepaired() {
		this.capacity.recovering = true;
		Outcome waiting = submit(1, "a", 100, 1000);
		this.clock.advance(Duration.ofMillis(1000));
		this.queue.dispatchWaiting();
		assertThat(waiting.rejection).isNotNull();
		assertThat(waiting.rejection.cause()).isEqualTo(Cause.WAIT_LIMIT);
		assertThat(waiting.rejection.retryMillis()).isBetween(1500L, 5000L);
	}

	// Guards against a search of all runners for each waiting or rejected request, which
	// takes the processor time of a small VM in a burst.
	@Example
	void burstCausesFewSearches() {
		for (int i = 0; i < 3000; i++) {
			submit(1, "team-" + i % 24, 100, 1000);
		}
		assertThat(this.queue.waitingCount()).isEqualTo(3000);
		assertThat(this.capacity.searches).isLessThan(10);
		this.clock.advance(Duration.ofMillis(50));
		this.queue.dispatchWaiting();
		assertThat(this.capacity.searches).isLessThan(20);
		// A slot that is released is used at once.
		this.capacity.free = 100;
		this.queue.dispatchWaiting();
		assertThat(this.queue.waitingCount()).isEqualTo(2999);
	}

	// Guards against a backup attempt that keeps others from slots at runners that it
	// must avoid itself.
	@Example
	void backupAttemptsDoNotWaitForEachOther() {
		RunnerId other = new RunnerId("other");
		Outcome stuck = submit(1, "a", 100, 1000, Set.of(RUNNER.id(), other));
		for (int i = 0; i < 9; i++) {
			this.clock.advance(Duration.ofMillis(100));
			this.capacity.free = 100;
			assertThat(submit(1, "a", 100, 1000, Set.of(other)).reservation).isNotNull();
		}
		assertThat(stuck.isPending()).isTrue();
	}

	// Guards against callers who left but still count as ahead of others.
	@Example
	void cancelledRequestsDoNotCount() {
		this.capacity.free = 100;
		measureRate();
		List<Outcome> leaving = new ArrayList<>();
		for (int i = 0; i < 9; i++) {
			leaving.add(submit(1, "a", 1000, 850));
		}
		leaving.forEach((outcome) -> assertThat(this.queue.cancel(outcome.request)).isTrue());
		assertThat(this.queue.waitingCost()).isZero();
		assertThat(submit(1, "a", 1000, 860).isPending()).isTrue();
	}

	/** Receives the outcome of a request. */
	private static final class Outcome implements ReservationRequest.Receiver {

		private ReservationRequest request;

		private Reservation reservation;

		private Rejection rejection;

		boolean isPending() {
			return this.reservation == null && this.rejection == null;
		}

		@Override
		public void granted(Reservation granted) {
			assertThat(isPending()).isTrue();
			this.reservation = granted;
		}

		@Override
		public void rejected(Rejection cause) {
			assertThat(isPending()).isTrue();
			this.rejection = cause;
		}

	}

	/** One runner with room for a number of tokens. */
	private final class CountedCapacity implements CapacityAllocator {

		private int free;

		private int searches;

		private boolean recovering;

		@Override
		public Optional<Reservation> reserve(RequestSize size, Set<RunnerId> excluded) {
			this.searches++;
			if (excluded.contains(RUNNER.id()) || size.totalTokens() > this.free) {
				return Optional.empty();
			}
			this.free -= size.totalTokens();
			Reservation reservation = new Reservation(List.of(RUNNER), null, size);
			ReservationQueueTests.this.loadTracker.add(reservation.resources(), size);
			return Optional.of(reservation);
		}

		@Override
		public Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
			return reserve(size, avoided);
		}

		@Override
		public long prefillBacklogMillis(Reservation reservation) {
			return 0;
		}

		@Override
		public boolean recovering() {
			return this.recovering;
		}

		@Override
		public long unavailableMillis() {
			return 0;
		}

	}

}
