package io.bilberryvalve.gateway.relay;

import java.time.Clock;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.ProgressTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.fleet.RunnerPauses;
import io.bilberryvalve.gateway.http.HeaderNames;
import io.bilberryvalve.gateway.http.UpstreamPool;
import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
import io.bilberryvalve.policy.membership.ShutdownSchedule;
import io.bilberryvalve.policy.overload.Backlog;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * State shared by all requests of a daemon: the configuration in force, the runners and
 * their load, and the queues of the services. Safe for use by several threads.
 */
public final class RelayContext {

	private static final System.Logger LOGGER = System.getLogger(RelayContext.class.getName());

	/**
	 * Largest number of requests that may wait until this daemon is ready; about what
	 * arrives in ten seconds.
	 */
	private static final int MAX_PENDING_STARTS = 500;

	private static final Backlog NO_BACKLOG = new Backlog();

	private final HeaderNames headerNames;

	private final DataCentreId localDataCentre;

	private final Clock clock;

	private final FleetRegistry fleetRegistry;

	private final LoadTracker loadTracker;

	private final RunnerAvailability runnerAvailability;

	private final RunnerPauses runnerPauses;

	private final ProgressTracker progressTracker;

	private final PartQuarantine partQuarantine;

	private final RetryBudget retryBudget;

	private final StallProbe stallProbe;

	private final Function<EventLoop, UpstreamPool> connectionPools;

	private final AtomicReference<@Nullable RouteTable> table = new AtomicReference<>();

	private final Metrics metrics = new Metrics();

	private final ResponseMemory responseMemory = new ResponseMemory();

	private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();

	/** Requests in progress, with the check of each for stalls. */
	private final Map<RelayedRequest, GuardedTask> active = new ConcurrentHashMap<>();

	private final Queue<Runnable> pendingStarts = new ConcurrentLinkedQueue<>();

	private volatile Function<EventLoop, Backlog> backlogs = (loop) -> NO_BACKLOG;

	private volatile BooleanSupplier otherDaemonsServe = () -> true;

	private volatile @Nullable ShutdownSchedule shutdownSchedule;

	/**
	 * Creates the context.
	 * @param headerNames names of the headers in this deployment
	 * @param localDataCentre data centre of this daemon
	 * @param clock monotonic clock
	 * @param fleetRegistry runners that are known
	 * @param loadTracker requests in progress at the runners
	 * @param runnerAvailability runners that are avoided after failures
	 * @param partQuarantine prompt parts with which requests are rejected
	 * @param retryBudget limits repeated requests
	 * @param stallProbe asks runners for the cause of a stalled path
	 * @param connectionPools connections to runners, by event loop
	 */
	public RelayContext(HeaderNames headerNames, DataCentreId localDataCentre, Clock clock, FleetRegistry fleetRegistry,
			LoadTracker loadTracker, RunnerAvailability runnerAvailability, PartQuarantine partQuarantine,
			RetryBudget retryBudget, StallProbe stallProbe, Function<EventLoop, UpstreamPool> connectionPools) {
		this.headerNames = headerNames;
		this.localDataCentre = localDataCentre;
		this.clock = clock;
		this.fleetRegistry = fleetRegistry;
		this.loadTracker = loadTracker;
		this.runnerAvailability = runnerAvailability;
		this.runnerPauses = new RunnerPauses(clock);
		this.progressTracker = new ProgressTracker(clock);
		this.partQuarantine = partQuarantine;
		this.retryBudget = retryBudget;
		this.stallProbe = new CoalescingStallProbe(stallProbe, clock);
		this.connectionPools = connectionPools;
		fleetRegistry.onChange(this::fleetChanged);
		this.metrics.addGauge("bilberryvalve_requests_active", "Requests in progress", this.active::size);
		this.metrics.addGauge("bilberryvalve_requests_waiting", "Requests that wait for a place",
				() -> sum(ReservationQueue::waitingCount));
		this.metrics.addGauge("bilberryvalve_waiting_cost", "Estimated cost of the requests that wait for a place",
				() -> sum(ReservationQueue::waitingCost));
		this.metrics.addGauge("bilberryvalve_admitted_cost_per_second",
				"Measured rate at which waiting cost is admitted", () -> sum(ReservationQueue::admittedCostPerSecond));
		this.metrics.addGauge("bilberryvalve_reserving_requests",
				"Passed over requests for which the next capacity is reserved",
				() -> sum(ReservationQueue::reservedCount));
		this.metrics.addGauge("bilberryvalve_runners", "Runners listed", () -> fleetRegistry.snapshot().all().size());
		this.metrics.addGauge("bilberryvalve_runners_refusing", "Runners that refused a request in the last 250 ms",
				() -> runnerAvailability.refusals().count());
		this.metrics.addGauge("bilberryvalve_runners_slow", "Engine runners that are slower than their profile says",
				() -> this.progressTracker.paceEstimator().slowCount());
		this.metrics.addGauge("bilberryvalve_configuration_version", "Configuration in force", this::version);
	}

	private double sum(ToDoubleFunction<ReservationQueue> value) {
		return this.queues.values().stream().mapToDouble((service) -> value.applyAsDouble(service.queue)).sum();
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

	/**
	 * Sets the source of the backlogs of event loops, without which there are none.
	 * @param source returns the backlog of a loop
	 */
	public void useBacklogs(Function<EventLoop, Backlog> source) {
		this.backlogs = source;
	}

	Backlog backlog(EventLoop loop) {
		return this.backlogs.apply(loop);
	}

	HeaderNames headerNames() {
		return this.headerNames;
	}

	Clock clock() {
		return this.clock;
	}

	FleetRegistry fleetRegistry() {
		return this.fleetRegistry;
	}

	LoadTracker loadTracker() {
		return this.loadTracker;
	}

	RunnerAvailability runnerAvailability() {
		return this.runnerAvailability;
	}

	RunnerPauses runnerPauses() {
		return this.runnerPauses;
	}

	ProgressTracker progressTracker() {
		return this.progressTracker;
	}

	PartQuarantine partQuarantine() {
		return this.partQuarantine;
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
		this.progressTracker.retain(this.fleetRegistry.snapshot());
		this.runnerAvailability.refusals().retain(this.fleetRegistry.snapshot());
		runPendingStarts();
		dispatchWaiting();
	}

	/**
	 * Tells whether this daemon can route requests.
	 * @return whether it has a configuration and has read the list of runners
	 */
	boolean ready() {
		return this.table.get() != null && this.fleetRegistry.isLoaded();
	}

	/**
	 * Runs an action as soon as this daemon is {@linkplain #ready ready}, possibly during
	 * this call.
	 * @param action the action; it must not block
	 * @return whether the action will run; {@code false} if too many are waiting
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
			new GuardedTask("start-request", next).run();
		}
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or {@code null} if none has arrived yet
	 */
	public @Nullable RouteTable table() {
		return this.table.get();
	}

	/**
	 * Puts a configuration in force, unless the same or a newer version is in force.
	 * @param next the configuration
	 * @return whether it was put in force
	 */
	public boolean configure(RouteTable next) {
		RouteTable previous = this.table
			.getAndUpdate((now) -> (now == null || next.version() > now.version()) ? next : now);
		boolean newer = previous == null || next.version() > previous.version();
		if (newer) {
			LogEvent.of("configuration-in-force")
				.with("version", next.version())
				.with("before", (previous != null) ? previous.version() : null)
				.log(LOGGER, System.Logger.Level.INFO);
			runPendingStarts();
		}
		return newer;
	}

	/**
	 * Returns the limit of the memory for responses of runners.
	 * @return the limit that all requests share
	 */
	ResponseMemory responseMemory() {
		return this.responseMemory;
	}

	/**
	 * Records what a runner said about itself in a response.
	 * @param runner entry of the runner
	 * @param notice what it said
	 */
	void recordNotice(ListedRunner runner, RunnerNotice notice) {
		if (notice.leaving() && this.fleetRegistry.recordLeaving(runner)) {
			this.metrics.recordRunnerNotice("leaving");
		}
		if (notice.pauseMillis() > 0 && this.runnerPauses.pause(runner, notice.pauseMillis())) {
			this.metrics.recordRunnerNotice("paused");
		}
	}

	ReservationQueue reservationQueue(Service service) {
		EngineProfile engine = service.engine();
		return this.queues.compute(service.name(), (name, old) -> {
			if (old != null && Objects.equals(old.engine, engine)) {
				return old;
			}
			CapacityAllocator allocator = createAllocator(name, engine);
			if (old == null) {
				return new ServiceQueue(name, engine, new ReservationQueue(allocator, this.loadTracker, this.clock));
			}
			LogEvent.of("engine-profile-changed")
				.with("service", name)
				.with("waiting", old.queue.waitingCount())
				.log(LOGGER, System.Logger.Level.INFO);
			old.queue.setAllocator(allocator);
			return new ServiceQueue(engine, old.queue, old.dispatch);
		}).queue;
	}

	private CapacityAllocator createAllocator(String service, @Nullable EngineProfile engine) {
		return (engine != null)
				? new PathAllocator(service, engine, this.fleetRegistry, this.loadTracker, this.runnerAvailability,
						this.runnerPauses, this.progressTracker)
				: new RunnerAllocator(service, this.localDataCentre, this.fleetRegistry, this.loadTracker,
						this.runnerAvailability, this.runnerPauses);
	}

	/**
	 * Grants free slots to waiting requests of all services and rejects those that have
	 * waited too long.
	 */
	public void dispatchWaiting() {
		this.queues.values().forEach((serviceQueue) -> serviceQueue.dispatch.run());
	}

	/**
	 * Checks all requests for stalls. To be called many times a second, since a silent
	 * stream should be noticed within a small part of its target gap.
	 * @param resumedAfterPause whether this call is much later than scheduled, because
	 * this daemon was paused; silence during the pause is then not held against the
	 * runners
	 */
	public void checkProgress(boolean resumedAfterPause) {
		if (resumedAfterPause) {
			this.progressTracker.resetSilence();
		}
		this.active.values().forEach(GuardedTask::run);
	}

	void register(RelayedRequest request) {
		this.active.put(request, new GuardedTask("check-progress-of-request", request::checkProgress));
	}

	void unregister(RelayedRequest request) {
		this.active.remove(request);
	}

	/**
	 * Returns the number of accepted requests in progress, including those that wait for
	 * a slot.
	 * @return number of requests
	 */
	public int activeCount() {
		return this.active.size();
	}

	/**
	 * Tells whether to reject a new request because this daemon is leaving.
	 * @param timeoutMillis time limit of the request
	 * @param repeatable whether the request may be repeated if it is cut off
	 * @return whether to reject the request; always {@code false} before
	 * {@link #startLeaving}
	 */
	boolean rejectsWhileLeaving(long timeoutMillis, boolean repeatable) {
		ShutdownSchedule schedule = this.shutdownSchedule;
		return schedule != null && schedule.refuses(this.clock.millis(), timeoutMillis, repeatable,
				this.otherDaemonsServe.getAsBoolean());
	}

	/**
	 * Tells whether this daemon is leaving and would stop within the answer to a request.
	 * @param reservation runners to which the request is about to be sent
	 * @return whether to reject the request instead; always {@code false} before
	 * {@link #startLeaving}
	 */
	boolean stopsWithin(Reservation reservation) {
		ShutdownSchedule schedule = this.shutdownSchedule;
		return schedule != null && schedule.outlasts(this.clock.millis(), reservation.expectedMillis(),
				this.otherDaemonsServe.getAsBoolean());
	}

	/**
	 * Starts leaving: from now on, new requests are accepted only as the schedule allows.
	 * @param schedule decides which requests are still accepted
	 * @param otherDaemonsServe tells whether callers can use other daemons
	 */
	public void startLeaving(ShutdownSchedule schedule, BooleanSupplier otherDaemonsServe) {
		this.otherDaemonsServe = otherDaemonsServe;
		this.shutdownSchedule = schedule;
	}

	/**
	 * Ends all requests in progress because this daemon stops. Those that have certainly
	 * not run are rejected, so that their callers retry at another daemon.
	 */
	public void endAll() {
		this.active.keySet().forEach(RelayedRequest::endOnShutdown);
	}

	/**
	 * Queue of a service.
	 *
	 * @param engine profile of its engines, or {@code null} for plain application runners
	 * @param queue the queue
	 * @param dispatch grants free slots; a failure does not affect other services
	 */
	private record ServiceQueue(@Nullable EngineProfile engine, ReservationQueue queue, GuardedTask dispatch) {

		ServiceQueue(String service, @Nullable EngineProfile engine, ReservationQueue queue) {
			this(engine, queue, new GuardedTask("dispatch-" + service, queue::dispatchWaiting));
		}

	}

}
