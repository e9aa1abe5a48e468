package io.bilberryvalve.gateway.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * Places at plain application runners: the runner with the fewest requests in progress
 * over all daemons, in the own data centre if there are several.
 */
final class RunnerSeats implements SeatPool {

	private final String service;

	private final DataCentreId here;

	private final FleetRegistry board;

	private final LoadTracker loads;

	private final RunnerAvailability trust;

	RunnerSeats(String service, DataCentreId here, FleetRegistry board, LoadTracker loads, RunnerAvailability trust) {
		this.service = service;
		this.here = here;
		this.board = board;
		this.loads = loads;
		this.trust = trust;
	}

	@Override
	public Optional<Seat> take(RequestSize size, Set<RunnerId> excluded) {
		List<ListedRunner> ready = ready().stream().filter((runner) -> !excluded.contains(runner.id())).toList();
		List<ListedRunner> trusted = ready.stream().filter((runner) -> this.trust.isUsable(runner.id())).toList();
		return (trusted.isEmpty() ? ready : trusted).stream()
			.filter((runner) -> this.loads.of(runner.id()).running() < Math.max(1, runner.slots()))
			.min(Comparator.comparingInt((ListedRunner runner) -> this.loads.of(runner.id()).running())
				.thenComparing((runner) -> !runner.dataCentre().equals(this.here)))
			.map((runner) -> {
				Seat seat = new Seat(List.of(runner), null, size);
				this.loads.add(seat.parts(), size);
				return seat;
			});
	}

	@Override
	public Optional<Seat> takeElsewhere(RequestSize size, Set<RunnerId> avoided) {
		return Optional.empty();
	}

	@Override
	public long backlogMillis(Seat seat) {
		return 0;
	}

	@Override
	public boolean repairing() {
		return false;
	}

	@Override
	public boolean served() {
		return !ready().isEmpty();
	}

	private List<ListedRunner> ready() {
		return this.board.snapshot().ofService(this.service).stream().filter((runner) -> !runner.leaving()).toList();
	}

}
