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
import io.bilberryvalve.gateway.http.Dialect;
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
	private static final int MAX_PENDING_STARTS = 500;

	private final Dialect dialect;

	private final DataCentreId localDataCentre;

	private final Clock clock;

	private final FleetBoard fleetRegistry;

	private final LoadBook loadTracker;

	private final Trust runnerAvailability;

	private final ProgressBoard progressTracker;

	private final RetryBudget retryBudget;

	private final StallProbe stallProbe;

	private final Function<EventLoop, UpstreamPool> connectionPools;

	private final AtomicReference<@Nullable RouteTable> table = new AtomicReference<>();

	private final Metrics metrics = new Metrics();

	private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();

	private final Set<RelayedRequest> active = ConcurrentHashMap.newKeySet();

	private final Queue<Runnable> pendingStarts = new ConcurrentLinkedQueue<>();

	private volatile BooleanSupplier otherDaemonsServe = () -> true;

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
	public RelayContext(Dialect dialect, DataCentreId here, Clock clock, FleetBoard board, LoadBook loads, Trust trust,
			RetryBudget budget, StallProbe reports, Function<EventLoop, UpstreamPool> pools) {
		this.dialect = dialect;
		this.localDataCentre = here;
		this.clock = clock;
		this.fleetRegistry = board;
		this.loadTracker = loads;
		this.runnerAvailability = trust;
		this.progressTracker = new ProgressBoard(clock);
		this.retryBudget = budget;
		this.stallProbe = new CoalescingStallProbe(reports, clock);
		this.connectionPools = pools;
		board.onChange(this::fleetChanged);
		this.metrics.gauge("bilberryvalve_requests_active", "Requests in progress", this.active::size);
		this.metrics.gauge("bilberryvalve_requests_waiting", "Requests that wait for a place", this::waitingCount);
		this.metrics.gauge("bilberryvalve_runners", "Runners listed", () -> board.fleet().all().size());
		this.metrics.gauge("bilberryvalve_configuration_version", "Configuration in force", this::version);
	}

	private double waitingCount() {
		return this.queues.values().stream().mapToInt((desk) -> desk.queue.waitingCount()).sum();
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

	Dialect dialect() {
		return this.dialect;
	}

	Clock clock() {
		return this.clock;
	}

	FleetBoard fleetRegistry() {
		return this.fleetRegistry;
	}

	LoadBook loadTracker() {
		return this.loadTracker;
	}

	Trust runnerAvailability() {
		return this.runnerAvailability;
	}

	ProgressBoard progressTracker() {
		return this.progressTracker;
	}

	RetryBudget retryBudget() {
		return this.retryBudget;
	}

	StallProbe stallProbe() {
		return this.stallProbe;
	}

	UpstreamPool connectionPool(EventLoop loop) {
		return this.connectionPools.apply(loop);
	}

	private void fleetChanged() {
		this.progressTracker.retain(this.fleetRegistry.fleet());
		runPendingStarts();
		dispatchWaiting();
	}

	/**
	 * Tells whether requests can be served.
	 * @return whether the configuration and the runners are known
	 */
	boolean ready() {
		return this.table.get() != null && this.fleetRegistry.known();
	}

	/**
	 * Runs an action once requests can be served.
	 * @param action the action; it must not block
	 * @return whether it will run; {@code false} if too many wait already
	 */
	boolean whenReady(Runnable action) {
		if (this.pendingStarts.size() >= MAX_PENDING_STARTS) {
			return false;
		}
		this.pendingStarts.add(action);
		runPendingStarts();
		return true;
	}

	private void runPendingStarts() {
		for (Runnable next = ready() ? this.pendingStarts.poll() : null; next != null; next = this.pendingStarts
			.poll()) {
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
			runPendingStarts();
		}
		return newer;
	}

	ReservationQueue reservationQueue(Service service) {
		EngineProfile engine = service.engine();
		return this.queues.compute(service.name(), (name, old) -> {
			if (old != null && Objects.equals(old.engine, engine)) {
				return old;
			}
			CapacityAllocator pool = (engine != null)
					? new PathAllocator(name, engine, this.fleetRegistry, this.loadTracker, this.runnerAvailability,
							this.progressTracker)
					: new RunnerAllocator(name, this.localDataCentre, this.fleetRegistry, this.loadTracker,
							this.runnerAvailability);
			return new ServiceQueue(engine, new ReservationQueue(pool, this.loadTracker, this.clock));
		}).queue;
	}

	/**
	 * Gives free places to waiting requests.
	 */
	public void dispatchWaiting() {
		this.queues.values().forEach((desk) -> desk.queue.dispatchWaiting());
	}

	/**
	 * Checks the progress of all requests. Call it many times a second.
	 * @param late whether this call comes much later than it should, because this daemon
	 * stood still
	 */
	public void checkProgress(boolean late) {
		if (late) {
			this.progressTracker.awake();
		}
		this.active.forEach(RelayedRequest::checkProgress);
	}

	void register(RelayedRequest relay) {
		this.active.add(relay);
	}

	void unregister(RelayedRequest relay) {
		this.active.remove(relay);
	}

	/**
	 * Returns the number of requests in progress.
	 * @return number of requests
	 */
	public int activeCount() {
		return this.active.size();
	}

	/**
	 * Tells whether a request comes too late, because this daemon is leaving.
	 * @param longestMillis longest time that the request may take
	 * @return whether to reject it
	 */
	boolean rejectsWhileLeaving(long longestMillis) {
		LeavePlan plan = this.leavePlan;
		return plan != null && plan.refuses(this.clock.millis(), longestMillis, this.otherDaemonsServe.getAsBoolean());
	}

	/**
	 * Starts to leave.
	 * @param plan which requests are still accepted
	 * @param others whether callers can go to other daemons
	 */
	public void startLeaving(LeavePlan plan, BooleanSupplier others) {
		this.otherDaemonsServe = others;
		this.leavePlan = plan;
	}

	private record ServiceQueue(@Nullable EngineProfile engine, ReservationQueue queue) {

	}

}
