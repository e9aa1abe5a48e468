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
 * Places on paths of runners that each hold some layers of a model.
 */
final class PathAllocator implements CapacityAllocator {

	private static final RequestSize SMALLEST = new RequestSize(1, 1);

	private final String service;

	private final EngineProfile profile;

	private final PathChooser chooser;

	private final FleetBoard fleetRegistry;

	private final LoadBook loadTracker;

	private final Trust runnerAvailability;

	private final ProgressBoard progressTracker;

	private volatile HolderSnapshot holderSnapshot = new HolderSnapshot(Fleet.EMPTY, List.of());

	PathAllocator(String service, EngineProfile profile, FleetBoard board, LoadBook loads, Trust trust,
			ProgressBoard progress) {
		this.service = service;
		this.profile = profile;
		this.chooser = new PathChooser(profile);
		this.fleetRegistry = board;
		this.loadTracker = loads;
		this.runnerAvailability = trust;
		this.progressTracker = progress;
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
		return path.flatMap((found) -> reserve(fleet, found, size));
	}

	@Override
	public Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
		Fleet fleet = this.fleetRegistry.fleet();
		return this.chooser
			.choose(holders(fleet), this.loadTracker, size, (runner) -> !avoided.contains(runner) && usable(runner))
			.flatMap((path) -> reserve(fleet, path, size));
	}

	@Override
	public long prefillBacklogMillis(Reservation seat) {
		return Math.round(seat.runners().stream().mapToDouble(this::prefillBacklogMillis).max().orElse(0));
	}

	private double prefillBacklogMillis(ListedRunner runner) {
		String kind = runner.card();
		CardKind card = (kind != null) ? this.profile.cards().get(kind) : null;
		return (card != null) ? this.profile.readMillis(card, 1, this.loadTracker.of(runner.id()).unreadLayers()) : 0;
	}

	private boolean usable(RunnerId runner) {
		return this.runnerAvailability.trusted(runner) && !this.progressTracker.suspected(runner);
	}

	// Whether usable runners cover the model at all, so that waiting for them helps.
	private boolean hasUsablePath(List<Holder> holders) {
		return this.chooser.choose(holders, PathLoads.IDLE, SMALLEST, this::usable).isPresent();
	}

	private Optional<Reservation> reserve(Fleet fleet, LayerPath path, RequestSize size) {
		List<ListedRunner> runners = new ArrayList<>();
		for (LayerPath.Hop hop : path.hops()) {
			fleet.find(hop.runner()).ifPresent(runners::add);
		}
		Reservation seat = new Reservation(runners, path, size);
		this.loadTracker.add(seat.resources(), size);
		return Optional.of(seat);
	}

	// Each data centre is meant to hold the whole model.
	@Override
	public boolean recovering() {
		return holders(this.fleetRegistry.fleet()).stream()
			.collect(Collectors.groupingBy(Holder::dataCentre))
			.values()
			.stream()
			.anyMatch((here) -> this.chooser.choose(here, PathLoads.IDLE, SMALLEST, this::usable).isEmpty());
	}

	@Override
	public boolean canServe() {
		return this.chooser.choose(holders(this.fleetRegistry.fleet()), PathLoads.IDLE, SMALLEST, (runner) -> true)
			.isPresent();
	}

	// The holders change with the fleet only, which is a new object after each change.
	private List<Holder> holders(Fleet fleet) {
		HolderSnapshot now = this.holderSnapshot;
		if (now.fleet != fleet) {
			now = new HolderSnapshot(fleet, findHolders(fleet));
			this.holderSnapshot = now;
		}
		return now.holders;
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
	 * Holders of a fleet.
	 *
	 * @param fleet the fleet
	 * @param holders its runners that hold layers and take work
	 */
	private record HolderSnapshot(Fleet fleet, List<Holder> holders) {

	}

}
