package io.bilberryvalve.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.fleet.Fleet;
import io.bilberryvalve.gateway.fleet.FleetBoard;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.gateway.fleet.ProgressBoard;
import io.bilberryvalve.gateway.fleet.Trust;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.Holder;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.PathChooser;
import io.bilberryvalve.policy.path.PathLoads;
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

	private final FleetBoard fleetRegistry;

	private final LoadBook loadTracker;

	private final Trust runnerAvailability;

	private final ProgressBoard progressTracker;

	private volatile HolderSnapshot holderSnapshot = new HolderSnapshot(Fleet.EMPTY, List.of());

	PathAllocator(String service, EngineProfile profile, FleetBoard fleetRegistry, LoadBook loadTracker,
			Trust runnerAvailability, ProgressBoard progressTracker) {
		this.service = service;
		this.profile = profile;
		this.chooser = new PathChooser(profile);
		this.fleetRegistry = fleetRegistry;
		this.loadTracker = loadTracker;
		this.runnerAvailability = runnerAvailability;
		this.progressTracker = progressTracker;
	}

	@Override
	public Optional<Reservation> reserve(RequestSize size, Set<RunnerId> excluded) {
		Fleet fleet = this.fleetRegistry.fleet();
		List<Holder> holders = holders(fleet);
		Optional<LayerPath> path = this.chooser.choose(holders, this.loadTracker, size,
				(runner) -> !excluded.contains(runner) && usable(runner));
		if (path.isEmpty() && !excluded.isEmpty()) {
			path = this.chooser.choose(holders, this.loadTracker, size, this::usable);
		}
		if (path.isEmpty() && !hasUsablePath(holders)) {
			path = this.chooser.choose(holders, this.loadTracker, size, (runner) -> !excluded.contains(runner));
		}
		return path.flatMap((chosen) -> reserve(fleet, chosen, size));
	}

	@Override
	public Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
		Fleet fleet = this.fleetRegistry.fleet();
		return this.chooser
			.choose(holders(fleet), this.loadTracker, size, (runner) -> !avoided.contains(runner) && usable(runner))
			.flatMap((path) -> reserve(fleet, path, size));
	}

	@Override
	public long prefillBacklogMillis(Reservation reservation) {
		return Math.round(reservation.runners().stream().mapToDouble(this::prefillBacklogMillis).max().orElse(0));
	}

	private double prefillBacklogMillis(ListedRunner runner) {
		String kind = runner.card();
		CardKind card = (kind != null) ? this.profile.cards().get(kind) : null;
		return (card != null) ? this.profile.readMillis(card, 1, this.loadTracker.of(runner.id()).unreadLayers()) : 0;
	}

	private boolean usable(RunnerId runner) {
		return this.runnerAvailability.trusted(runner) && !this.progressTracker.suspected(runner);
	}

	// Returns whether the usable runners cover all layers when idle. If so, a request
	// waits for them instead of using a runner that is avoided or suspected of a
	// stall.
	private boolean hasUsablePath(List<Holder> holders) {
		return this.chooser.choose(holders, PathLoads.IDLE, MIN_REQUEST_SIZE, this::usable).isPresent();
	}

	private Optional<Reservation> reserve(Fleet fleet, LayerPath path, RequestSize size) {
		List<ListedRunner> runners = new ArrayList<>();
		for (LayerPath.Hop hop : path.hops()) {
			fleet.find(hop.runner()).ifPresent(runners::add);
		}
		Reservation reservation = new Reservation(runners, path, size);
		this.loadTracker.add(reservation.resources(), size);
		return Optional.of(reservation);
	}

	// Capacity is missing if the usable runners of any data centre do not cover the
	// model, since each data centre is meant to hold all of its layers.
	@Override
	public boolean recovering() {
		return holders(this.fleetRegistry.fleet()).stream()
			.collect(Collectors.groupingBy(Holder::dataCentre))
			.values()
			.stream()
			.anyMatch((dataCentreHolders) -> this.chooser
				.choose(dataCentreHolders, PathLoads.IDLE, MIN_REQUEST_SIZE, this::usable)
				.isEmpty());
	}

	@Override
	public boolean canServe() {
		return this.chooser
			.choose(holders(this.fleetRegistry.fleet()), PathLoads.IDLE, MIN_REQUEST_SIZE, (runner) -> true)
			.isPresent();
	}

	// Caches the holders per fleet snapshot: they depend only on the fleet, and each
	// change of the fleet creates a new object.
	private List<Holder> holders(Fleet fleet) {
		HolderSnapshot cached = this.holderSnapshot;
		if (cached.fleet != fleet) {
			cached = new HolderSnapshot(fleet, findHolders(fleet));
			this.holderSnapshot = cached;
		}
		return cached.holders;
	}

	private List<Holder> findHolders(Fleet fleet) {
		List<Holder> holders = new ArrayList<>();
		for (ListedRunner runner : fleet.of(this.service)) {
			String kind = runner.card();
			CardKind card = (kind != null) ? this.profile.cards().get(kind) : null;
			LayerRange layers = runner.layers();
			if (!runner.leaving() && layers != null && card != null) {
				holders.add(new Holder(runner.id(), layers, runner.dataCentre(), card, 1));
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
	private record HolderSnapshot(Fleet fleet, List<Holder> holders) {

	}

}
