package io.bilberryvalve.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.FleetSnapshot;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.ProgressTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LayerHolder;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.LoadSource;
import io.bilberryvalve.policy.path.PathChooser;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;

/**
 * Places on paths of runners that each hold some layers of a model.
 */
final class PathSeats implements SeatPool {

	private static final RequestSize SMALLEST = new RequestSize(1, 1);

	private final String service;

	private final EngineProfile profile;

	private final PathChooser chooser;

	private final FleetRegistry board;

	private final LoadTracker loads;

	private final RunnerAvailability trust;

	private final ProgressTracker progress;

	private volatile Known known = new Known(FleetSnapshot.EMPTY, List.of());

	PathSeats(String service, EngineProfile profile, FleetRegistry board, LoadTracker loads, RunnerAvailability trust,
			ProgressTracker progress) {
		this.service = service;
		this.profile = profile;
		this.chooser = new PathChooser(profile);
		this.board = board;
		this.loads = loads;
		this.trust = trust;
		this.progress = progress;
	}

	@Override
	public Optional<Seat> take(RequestSize size, Set<RunnerId> excluded) {
		FleetSnapshot fleet = this.board.snapshot();
		List<LayerHolder> holders = holders(fleet);
		Optional<LayerPath> path = this.chooser.choose(holders, this.loads, size,
				(runner) -> !excluded.contains(runner) && usable(runner));
		if (path.isEmpty() && !excluded.isEmpty()) {
			path = this.chooser.choose(holders, this.loads, size, this::usable);
		}
		if (path.isEmpty() && !trustedPath(holders)) {
			path = this.chooser.choose(holders, this.loads, size, (runner) -> !excluded.contains(runner));
		}
		return path.flatMap((found) -> seat(fleet, found, size));
	}

	@Override
	public Optional<Seat> takeElsewhere(RequestSize size, Set<RunnerId> avoided) {
		FleetSnapshot fleet = this.board.snapshot();
		return this.chooser
			.choose(holders(fleet), this.loads, size, (runner) -> !avoided.contains(runner) && usable(runner))
			.flatMap((path) -> seat(fleet, path, size));
	}

	@Override
	public long backlogMillis(Seat seat) {
		return Math.round(seat.runners().stream().mapToDouble(this::backlogMillis).max().orElse(0));
	}

	private double backlogMillis(ListedRunner runner) {
		String kind = runner.card();
		CardKind card = (kind != null) ? this.profile.cards().get(kind) : null;
		return (card != null) ? this.profile.prefillMillis(card, 1, this.loads.of(runner.id()).prefillTokenLayers())
				: 0;
	}

	private boolean usable(RunnerId runner) {
		return this.trust.isUsable(runner) && !this.progress.isSuspected(runner);
	}

	// Whether usable runners cover the model at all, so that waiting for them helps.
	private boolean trustedPath(List<LayerHolder> holders) {
		return this.chooser.choose(holders, LoadSource.IDLE, SMALLEST, this::usable).isPresent();
	}

	private Optional<Seat> seat(FleetSnapshot fleet, LayerPath path, RequestSize size) {
		List<ListedRunner> runners = new ArrayList<>();
		for (LayerPath.Hop hop : path.hops()) {
			fleet.find(hop.runner()).ifPresent(runners::add);
		}
		Seat seat = new Seat(runners, path, size);
		this.loads.add(seat.parts(), size);
		return Optional.of(seat);
	}

	// Each data centre is meant to hold the whole model.
	@Override
	public boolean repairing() {
		return holders(this.board.snapshot()).stream()
			.collect(Collectors.groupingBy(LayerHolder::dataCentre))
			.values()
			.stream()
			.anyMatch((here) -> this.chooser.choose(here, LoadSource.IDLE, SMALLEST, this::usable).isEmpty());
	}

	@Override
	public boolean served() {
		return this.chooser.choose(holders(this.board.snapshot()), LoadSource.IDLE, SMALLEST, (runner) -> true)
			.isPresent();
	}

	// The holders change with the fleet only, which is a new object after each change.
	private List<LayerHolder> holders(FleetSnapshot fleet) {
		Known now = this.known;
		if (now.fleet != fleet) {
			now = new Known(fleet, read(fleet));
			this.known = now;
		}
		return now.holders;
	}

	private List<LayerHolder> read(FleetSnapshot fleet) {
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
	 * Holders of a fleet.
	 *
	 * @param fleet the fleet
	 * @param holders its runners that hold layers and take work
	 */
	private record Known(FleetSnapshot fleet, List<LayerHolder> holders) {

	}

}
