package io.bilberryvalve.gateway.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.FleetBoard;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.gateway.fleet.Trust;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * Places at plain application runners: the runner with the fewest requests in progress
 * over all daemons, in the own data centre if there are several.
 */
final class RunnerAllocator implements CapacityAllocator {

	private final String service;

	private final DataCentreId localDataCentre;

	private final FleetBoard fleetRegistry;

	private final LoadBook loadTracker;

	private final Trust runnerAvailability;

	RunnerAllocator(String service, DataCentreId here, FleetBoard board, LoadBook loads, Trust trust) {
		this.service = service;
		this.localDataCentre = here;
		this.fleetRegistry = board;
		this.loadTracker = loads;
		this.runnerAvailability = trust;
	}

	@Override
	public Optional<Reservation> reserve(RequestSize size, Set<RunnerId> excluded) {
		List<ListedRunner> ready = availableRunners().stream()
			.filter((runner) -> !excluded.contains(runner.id()))
			.toList();
		List<ListedRunner> trusted = ready.stream()
			.filter((runner) -> this.runnerAvailability.trusted(runner.id()))
			.toList();
		return (trusted.isEmpty() ? ready : trusted).stream()
			.filter((runner) -> this.loadTracker.of(runner.id()).running() < Math.max(1, runner.slots()))
			.min(Comparator.comparingInt((ListedRunner runner) -> this.loadTracker.of(runner.id()).running())
				.thenComparing((runner) -> !runner.dataCentre().equals(this.localDataCentre)))
			.map((runner) -> {
				Reservation seat = new Reservation(List.of(runner), null, size);
				this.loadTracker.add(seat.resources(), size);
				return seat;
			});
	}

	@Override
	public Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
		return Optional.empty();
	}

	@Override
	public long prefillBacklogMillis(Reservation seat) {
		return 0;
	}

	@Override
	public boolean recovering() {
		return false;
	}

	@Override
	public boolean canServe() {
		return !availableRunners().isEmpty();
	}

	private List<ListedRunner> availableRunners() {
		return this.fleetRegistry.fleet().of(this.service).stream().filter((runner) -> !runner.leaving()).toList();
	}

}
