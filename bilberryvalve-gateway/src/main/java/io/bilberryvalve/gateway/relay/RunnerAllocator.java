package io.bilberryvalve.gateway.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.fleet.RunnerPauses;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * Reserves slots at application runners, which serve a request alone. Chooses the runner
 * with the fewest requests in progress, counted over all daemons; among equals, one in
 * the data centre of this daemon. A runner that refused a request recently is used only
 * if no other one is usable.
 */
final class RunnerAllocator implements CapacityAllocator {

	private final String service;

	private final DataCentreId localDataCentre;

	private final FleetRegistry fleetRegistry;

	private final LoadTracker loadTracker;

	private final RunnerAvailability runnerAvailability;

	private final RunnerPauses runnerPauses;

	RunnerAllocator(String service, DataCentreId localDataCentre, FleetRegistry fleetRegistry, LoadTracker loadTracker,
			RunnerAvailability runnerAvailability, RunnerPauses runnerPauses) {
		this.service = service;
		this.localDataCentre = localDataCentre;
		this.fleetRegistry = fleetRegistry;
		this.loadTracker = loadTracker;
		this.runnerAvailability = runnerAvailability;
		this.runnerPauses = runnerPauses;
	}

	@Override
	public Optional<Reservation> reserve(RequestSize size, Set<RunnerId> excluded) {
		List<ListedRunner> others = runnersWithout(excluded);
		return reserve(size, others.isEmpty() ? openRunners() : others);
	}

	@Override
	public Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
		return reserve(size, runnersWithout(avoided));
	}

	private List<ListedRunner> runnersWithout(Set<RunnerId> excluded) {
		return openRunners().stream().filter((runner) -> !excluded.contains(runner.id())).toList();
	}

	private Optional<Reservation> reserve(RequestSize size, List<ListedRunner> candidates) {
		List<ListedRunner> trusted = candidates.stream()
			.filter((runner) -> this.runnerAvailability.isUsable(runner.id()))
			.toList();
		List<ListedRunner> accepting = trusted.stream()
			.filter((runner) -> !this.runnerAvailability.refusals().isRecent(runner.id()))
			.toList();
		List<ListedRunner> preferred = accepting.isEmpty() ? trusted : accepting;
		return (preferred.isEmpty() ? candidates : preferred).stream()
			.filter((runner) -> this.loadTracker.of(runner.id()).running() < Math.max(1, runner.slots()))
			.min(Comparator.comparingInt((ListedRunner runner) -> this.loadTracker.of(runner.id()).running())
				.thenComparing((runner) -> !runner.dataCentre().equals(this.localDataCentre)))
			.map((runner) -> {
				Reservation reservation = new Reservation(List.of(runner), null, size);
				this.loadTracker.add(reservation.resources(), size);
				return reservation;
			});
	}

	@Override
	public long prefillBacklogMillis(Reservation reservation) {
		return 0;
	}

	@Override
	public boolean recovering() {
		return false;
	}

	@Override
	public long unavailableMillis() {
		return presentRunners().mapToLong(this.runnerPauses::remainingMillis).min().orElse(NEVER);
	}

	private List<ListedRunner> openRunners() {
		return presentRunners().filter((runner) -> !this.runnerPauses.isPaused(runner)).toList();
	}

	private Stream<ListedRunner> presentRunners() {
		return this.fleetRegistry.snapshot().ofService(this.service).stream().filter((runner) -> !runner.leaving());
	}

}
