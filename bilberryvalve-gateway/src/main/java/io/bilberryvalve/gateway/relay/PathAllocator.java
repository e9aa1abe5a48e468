package io.bilberryvalve.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.FleetSnapshot;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.ProgressTracker;
import io.bilberryvalve.gateway.fleet.RecentRefusals;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.fleet.RunnerPauses;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LayerHolder;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.LoadSource;
import io.bilberryvalve.policy.path.PaceEstimator;
import io.bilberryvalve.policy.path.PathChooser;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;

/**
 * Reserves slots on paths of engine runners, each of which holds some layers of a model.
 * A {@link PathChooser} selects the path.
 */
final class PathAllocator implements CapacityAllocator {

	private static final RequestSize MIN_REQUEST_SIZE = new RequestSize(1, 1);

	private final String service;

	private final EngineProfile profile;

	private final PathChooser chooser;

	private final FleetRegistry fleetRegistry;

	private final LoadTracker loadTracker;

	private final RunnerAvailability runnerAvailability;

	private final RunnerPauses runnerPauses;

	private final ProgressTracker progressTracker;

	private volatile HolderSnapshot holderSnapshot = new HolderSnapshot(FleetSnapshot.EMPTY, List.of());

	PathAllocator(String service, EngineProfile profile, FleetRegistry fleetRegistry, LoadTracker loadTracker,
			RunnerAvailability runnerAvailability, RunnerPauses runnerPauses, ProgressTracker progressTracker) {
		this.service = service;
		this.profile = profile;
		this.chooser = new PathChooser(profile);
		this.fleetRegistry = fleetRegistry;
		this.loadTracker = loadTracker;
		this.runnerAvailability = runnerAvailability;
		this.runnerPauses = runnerPauses;
		this.progressTracker = progressTracker;
	}

	@Override
	public Optional<Reservation> reserve(RequestSize size, Set<RunnerId> excluded) {
		FleetSnapshot fleet = this.fleetRegistry.snapshot();
		List<LayerHolder> holders = pacedHolders(fleet);
		Predicate<RunnerId> usable = usableRunners(fleet);
		Optional<LayerPath> path = choose(holders, size, usable, excluded);
		if (path.isEmpty() && !excluded.isEmpty()) {
			path = choose(holders, size, usable, Set.of());
		}
		if (path.isEmpty() && !covers(holders, usable)) {
			path = this.chooser.choose(holders, this.loadTracker, size,
					(runner) -> !excluded.contains(runner) && pausedMillis(fleet, runner) == 0);
		}
		return path.flatMap((chosen) -> reserve(fleet, chosen, size));
	}

	@Override
	public Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
		FleetSnapshot fleet = this.fleetRegistry.snapshot();
		List<LayerHolder> holders = pacedHolders(fleet);
		return choose(holders, size, usableRunners(fleet), avoided).flatMap((path) -> reserve(fleet, path, size));
	}

	// Leaves out the runners that refused a request recently if the others cover the
	// model
	// when idle. A request then waits for these, since a runner that has just refused one
	// would most likely refuse the next one too.
	private Optional<LayerPath> choose(List<LayerHolder> holders, RequestSize size, Predicate<RunnerId> usable,
			Set<RunnerId> avoided) {
		RecentRefusals refusals = this.runnerAvailability.refusals();
		Predicate<RunnerId> permitted = usable.and((runner) -> !avoided.contains(runner));
		if (!refusals.isAnyRecent()) {
			return this.chooser.choose(holders, this.loadTracker, size, permitted);
		}
		Predicate<RunnerId> accepting = (runner) -> !refusals.isRecent(runner);
		Optional<LayerPath> path = this.chooser.choose(holders, this.loadTracker, size, permitted.and(accepting));
		return (path.isPresent() || covers(holders, usable.and(accepting))) ? path
				: this.chooser.choose(holders, this.loadTracker, size, permitted);
	}

	@Override
	public long prefillBacklogMillis(Reservation reservation) {
		return Math.round(reservation.runners().stream().mapToDouble(this::prefillBacklogMillis).max().orElse(0));
	}

	private double prefillBacklogMillis(ListedRunner runner) {
		String kind = runner.card();
		CardKind card = (kind != null) ? this.profile.cards().get(kind) : null;
		return (card != null)
				? this.profile.prefillMillis(card, 1, this.loadTracker.of(runner.id()).prefillTokenLayers()) : 0;
	}

	private Predicate<RunnerId> usableRunners(FleetSnapshot fleet) {
		return this.runnerAvailability.usableRunners()
			.and((runner) -> !this.progressTracker.isSuspected(runner) && pausedMillis(fleet, runner) == 0);
	}

	private long pausedMillis(FleetSnapshot fleet, RunnerId runner) {
		return this.runnerPauses.isEmpty() ? 0 : fleet.find(runner).map(this.runnerPauses::remainingMillis).orElse(0L);
	}

	// Returns whether the allowed runners cover all layers when idle. If usable ones do,
	// a request waits for them instead of using a runner that is avoided or suspected of
	// a stall.
	private boolean covers(List<LayerHolder> holders, Predicate<RunnerId> allowed) {
		return this.chooser.choose(holders, LoadSource.IDLE, MIN_REQUEST_SIZE, allowed).isPresent();
	}

	private Optional<Reservation> reserve(FleetSnapshot fleet, LayerPath path, RequestSize size) {
		List<ListedRunner> runners = new ArrayList<>();
		for (LayerPath.Hop hop : path.hops()) {
			fleet.find(hop.runner()).ifPresent(runners::add);
		}
		this.progressTracker.paceEstimator().recordChoice(path);
		Reservation reservation = new Reservation(runners, path, size);
		this.loadTracker.add(reservation.resources(), size);
		return Optional.of(reservation);
	}

	// Capacity is missing if the usable runners of any data centre do not cover the
	// model, since each data centre is meant to hold all of its layers.
	@Override
	public boolean recovering() {
		FleetSnapshot fleet = this.fleetRegistry.snapshot();
		Predicate<RunnerId> usable = usableRunners(fleet);
		return holders(fleet).stream()
			.collect(Collectors.groupingBy(LayerHolder::dataCentre))
			.values()
			.stream()
			.anyMatch((dataCentreHolders) -> !covers(dataCentreHolders, usable));
	}

	@Override
	public long unavailableMillis() {
		FleetSnapshot fleet = this.fleetRegistry.snapshot();
		List<LayerHolder> holders = holders(fleet);
		if (covers(holders, (runner) -> pausedMillis(fleet, runner) == 0)) {
			return 0;
		}
		return LongStream.of(this.runnerPauses.remainingMillis())
			.filter((millis) -> covers(holders, (runner) -> pausedMillis(fleet, runner) <= millis))
			.findFirst()
			.orElse(NEVER);
	}

	// Returns the holders with the present estimates of their slowdown. Mostly no runner
	// is
	// slow, so that the cached list is used as it is.
	private List<LayerHolder> pacedHolders(FleetSnapshot fleet) {
		PaceEstimator estimator = this.progressTracker.paceEstimator();
		List<LayerHolder> holders = holders(fleet);
		return estimator.hasSlowRunners()
				? holders.stream().map((holder) -> holder.withSlowdown(estimator.slowdown(holder.runner()))).toList()
				: holders;
	}

	// Caches the holders per fleet snapshot: they depend only on the fleet, and each
	// change of the fleet creates a new object.
	private List<LayerHolder> holders(FleetSnapshot fleet) {
		HolderSnapshot cached = this.holderSnapshot;
		if (cached.fleet != fleet) {
			cached = new HolderSnapshot(fleet, findHolders(fleet));
			this.holderSnapshot = cached;
		}
		return cached.holders;
	}

	private List<LayerHolder> findHolders(FleetSnapshot fleet) {
		List<LayerHolder> holders = new ArrayList<>();
		for (ListedRunner runner : fleet.ofService(this.service)) {
			String kind = runner.card();
			CardKind card = (kind != null) ? this.profile.cards().get(kind) : null;
			LayerRange layers = runner.layers();
			if (!runner.leaving() && layers != null && card != null) {
				holders.add(new LayerHolder(runner.id(), layers, runner.dataCentre(), card, 1));
			}
		}
		return holders;
	}

	/**
	 * Cached list of the layer holders in one state of the fleet.
	 *
	 * @param fleet the state of the fleet for which the list was computed
	 * @param holders runners of the service that hold layers and are not leaving
	 */
	private record HolderSnapshot(FleetSnapshot fleet, List<LayerHolder> holders) {

	}

}
