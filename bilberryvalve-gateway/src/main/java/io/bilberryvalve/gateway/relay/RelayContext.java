package io.bilberryvalve.gateway.relay;

import java.time.Clock;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.bilberryvalve.gateway.fleet.FleetBoard;
import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.gateway.fleet.ProgressBoard;
import io.bilberryvalve.gateway.fleet.Trust;
import io.bilberryvalve.gateway.http.HeaderNames;
import io.bilberryvalve.gateway.http.UpstreamPool;
import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.membership.LeavePlan;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * What all requests of a daemon share.
 */
public final class RelayContext {

	private static final System.Logger LOGGER = System.getLogger(RelayContext.class.getName());

	/**
	 * Requests that may wait for the first configuration; about ten seconds of callers.
	 */
	private static final int MAX_STARTING = 500;

	private final HeaderNames dialect;

	private final DataCentreId here;

	private final Clock clock;

	private final FleetBoard board;

	private final LoadBook loads;

	private final Trust trust;

	private final ProgressBoard progress;

	private final RetryBudget budget;

	private final StallReports reports;

	private final Function<EventLoop, UpstreamPool> pools;

	private final AtomicReference<@Nullable RouteTable> table = new AtomicReference<>();

	private final Metrics metrics = new Metrics();

	private final Map<String, Desk> desks = new ConcurrentHashMap<>();

	private final Set<Relay> active = ConcurrentHashMap.newKeySet();

	private final Queue<Runnable> starting = new ConcurrentLinkedQueue<>();

	private volatile BooleanSupplier othersServe = () -> true;

	private volatile @Nullable LeavePlan leavePlan;

	/**
	 * Creates the context.
	 * @param dialect header names
	 * @param here data centre of this daemon
	 * @param clock monotonic clock
	 * @param board the runners
	 * @param loads load of the runners
	 * @param trust failures of the runners
	 * @param budget limits repeated requests
	 * @param reports asks runners about stalled paths
	 * @param pools connections of each event loop
	 */
	public RelayContext(HeaderNames dialect, DataCentreId here, Clock clock, FleetBoard board, LoadBook loads,
			Trust trust, RetryBudget budget, StallReports reports, Function<EventLoop, UpstreamPool> pools) {
		this.dialect = dialect;
		this.here = here;
		this.clock = clock;
		this.board = board;
		this.loads = loads;
		this.trust = trust;
		this.progress = new ProgressBoard(clock);
		this.budget = budget;
		this.reports = new SharedReports(reports, clock);
		this.pools = pools;
		board.onChange(this::fleetChanged);
		this.metrics.addGauge("bilberryvalve_requests_active", "Requests in progress", this.active::size);
		this.metrics.addGauge("bilberryvalve_requests_waiting", "Requests that wait for a place", this::waiting);
		this.metrics.addGauge("bilberryvalve_runners", "Runners listed", () -> board.fleet().all().size());
		this.metrics.addGauge("bilberryvalve_configuration_version", "Configuration in force", this::version);
	}

	private double waiting() {
		return this.desks.values().stream().mapToInt((desk) -> desk.desk.waiting()).sum();
	}

	private double version() {
		RouteTable now = this.table.get();
		return (now != null) ? now.version() : 0;
	}

	/**
	 * Returns the metrics.
	 * @return counters and histograms of all requests
	 */
	public Metrics metrics() {
		return this.metrics;
	}

	HeaderNames dialect() {
		return this.dialect;
	}

	Clock clock() {
		return this.clock;
	}

	FleetBoard board() {
		return this.board;
	}

	LoadBook loads() {
		return this.loads;
	}

	Trust trust() {
		return this.trust;
	}

	ProgressBoard progress() {
		return this.progress;
	}

	RetryBudget budget() {
		return this.budget;
	}

	StallReports reports() {
		return this.reports;
	}

	UpstreamPool pool(EventLoop loop) {
		return this.pools.apply(loop);
	}

	private void fleetChanged() {
		this.progress.retain(this.board.fleet());
		startWaiting();
		pump();
	}

	/**
	 * Tells whether requests can be served.
	 * @return whether the configuration and the runners are known
	 */
	boolean ready() {
		return this.table.get() != null && this.board.known();
	}

	/**
	 * Runs an action once requests can be served.
	 * @param action the action; it must not block
	 * @return whether it will run; {@code false} if too many wait already
	 */
	boolean whenReady(Runnable action) {
		if (this.starting.size() >= MAX_STARTING) {
			return false;
		}
		this.starting.add(action);
		startWaiting();
		return true;
	}

	private void startWaiting() {
		for (Runnable next = ready() ? this.starting.poll() : null; next != null; next = this.starting.poll()) {
			next.run();
		}
	}

	/**
	 * Returns the configuration in force.
	 * @return the newest table, or {@code null} before the first one
	 */
	public @Nullable RouteTable table() {
		return this.table.get();
	}

	/**
	 * Puts a configuration in force, unless a newer one is.
	 * @param next the configuration
	 * @return whether it is in force now
	 */
	public boolean configure(RouteTable next) {
		RouteTable before = this.table
			.getAndUpdate((now) -> (now == null || next.version() > now.version()) ? next : now);
		boolean newer = before == null || next.version() > before.version();
		if (newer) {
			LogEvent.of("configuration-in-force")
				.with("version", next.version())
				.with("before", (before != null) ? before.version() : null)
				.log(LOGGER, System.Logger.Level.INFO);
			startWaiting();
		}
		return newer;
	}

	SeatDesk desk(Service service) {
		EngineProfile engine = service.engine();
		return this.desks.compute(service.name(), (name, old) -> {
			if (old != null && Objects.equals(old.engine, engine)) {
				return old;
			}
			SeatPool pool = (engine != null)
					? new PathSeats(name, engine, this.board, this.loads, this.trust, this.progress)
					: new RunnerSeats(name, this.here, this.board, this.loads, this.trust);
			return new Desk(engine, new SeatDesk(pool, this.loads, this.clock));
		}).desk;
	}

	/**
	 * Gives free places to waiting requests.
	 */
	public void pump() {
		this.desks.values().forEach((desk) -> desk.desk.pump());
	}

	/**
	 * Checks the progress of all requests. Call it many times a second.
	 * @param late whether this call comes much later than it should, because this daemon
	 * stood still
	 */
	public void sweep(boolean late) {
		if (late) {
			this.progress.awake();
		}
		this.active.forEach(Relay::checkProgress);
	}

	void started(Relay relay) {
		this.active.add(relay);
	}

	void ended(Relay relay) {
		this.active.remove(relay);
	}

	/**
	 * Returns the number of requests in progress.
	 * @return number of requests
	 */
	public int active() {
		return this.active.size();
	}

	/**
	 * Tells whether a request comes too late, because this daemon is leaving.
	 * @param longestMillis longest time that the request may take
	 * @return whether to reject it
	 */
	boolean refuses(long longestMillis) {
		LeavePlan plan = this.leavePlan;
		return plan != null && plan.refuses(this.clock.millis(), longestMillis, this.othersServe.getAsBoolean());
	}

	/**
	 * Starts to leave.
	 * @param plan which requests are still accepted
	 * @param others whether callers can go to other daemons
	 */
	public void leave(LeavePlan plan, BooleanSupplier others) {
		this.othersServe = others;
		this.leavePlan = plan;
	}

	private record Desk(@Nullable EngineProfile engine, SeatDesk desk) {

	}

}
