package io.bilberryvalve.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.bilberryvalve.gateway.feed.ReaderRole;
import io.bilberryvalve.gateway.feed.StoreReach;
import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.http.CallerServer;
import io.bilberryvalve.gateway.http.HeaderNames;
import io.bilberryvalve.gateway.http.HttpClient;
import io.bilberryvalve.gateway.http.IpAddresses;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.gateway.http.UpstreamPool;
import io.bilberryvalve.gateway.layers.LayerOrders;
import io.bilberryvalve.gateway.layers.LayerReconciler;
import io.bilberryvalve.gateway.peer.Delegates;
import io.bilberryvalve.gateway.peer.PeerState;
import io.bilberryvalve.gateway.peer.StateExchange;
import io.bilberryvalve.gateway.relay.RelayContext;
import io.bilberryvalve.gateway.relay.RelayHandler;
import io.bilberryvalve.gateway.relay.StallProbe;
import io.bilberryvalve.gateway.report.LoopMonitor;
import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.platform.watch.StoreEra;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.membership.ShutdownSchedule;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import io.bilberryvalve.policy.retry.RetryShare;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Router for HTTP requests on one VM. It relays requests of callers to runners by the
 * routes of the configuration, exchanges the load of the runners with the gateways on
 * other VMs, and assigns the layers of models to runners while it holds the lease on
 * layer placement.
 */
public final class Gateway {

	private static final System.Logger LOGGER = System.getLogger(Gateway.class.getName());

	private static final int MAX_GATEWAYS = 5000;

	/**
	 * Interval of stall checks; short against the target gap of a stream, so that a
	 * silent stream is noticed early.
	 */
	private static final Duration PROGRESS_CHECK_INTERVAL = Duration.ofMillis(25);

	/**
	 * Interval at which expired connections and runners are removed.
	 */
	private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(100);

	/**
	 * Longest time between two stall checks of a running process; a longer time means
	 * that the process was paused. Covers two intervals and a margin for the work between
	 * them.
	 */
	private static final long PROCESS_PAUSE_MILLIS = 80;

	private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(50);

	private static final Duration RECONCILE_INTERVAL = Duration.ofMillis(250);

	/**
	 * Interval at which the table of gateways is read again, so that gateways that have
	 * missed each other find each other.
	 */
	private static final Duration LIST_INTERVAL = Duration.ofSeconds(30);

	/**
	 * Time for which a leaving gateway still accepts all requests. Callers that refresh
	 * their address list every second have left after three refreshes.
	 */
	private static final long ACCEPT_WHILE_LEAVING_MILLIS = 3000;

	private static final double MILLIS_PER_SECOND = 1000;

	private static final Duration SHUTDOWN_POLL_INTERVAL = Duration.ofMillis(50);

	/** Shortest time in which the last responses are sent before the process exits. */
	private static final long MIN_LAST_RESPONSES_MILLIS = 100;

	/**
	 * Longest time in which the last responses are sent, if an event loop has a backlog
	 * or callers read slowly.
	 */
	private static final long MAX_LAST_RESPONSES_MILLIS = 300;

	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16384, 4 << 20, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Short lease, since layers of lost runners are not replaced until there is a new
	 * holder; the margin covers a store that answers slowly.
	 */
	private static final LeaseTimes LEASE_TIMES = new LeaseTimes(Duration.ofSeconds(4), Duration.ofMillis(500),
			Duration.ofMillis(1000), Duration.ofSeconds(1));

	private final GatewaySettings settings;

	private final Clock clock;

	private final Transport transport;

	private final TableService tables;

	/**
	 * Runs the placement of layers, whose computations would delay an event loop. One
	 * thread renews the lease while the other one searches a template.
	 */
	private final ScheduledExecutorService placement = Executors.newScheduledThreadPool(2,
			new DefaultThreadFactory("placement", true));

	private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

	private final FleetRegistry fleetRegistry;

	private final StoreReach storeReach = new StoreReach();

	private final LoadTracker loadTracker;

	private final RunnerAvailability runnerAvailability;

	private final RelayContext relayContext;

	private final LoopMonitor loopMonitor;

	private final StateExchange stateExchange;

	private final CallerServer server;

	private final LayerReconciler layerReconciler;

	private final GatewayRegistration registration;

	private long progressCheckedAt;

	private volatile StoreVersion runnerListVersion = StoreVersion.NONE;

	private volatile boolean leaving;

	/** Time at which this gateway left, 0 before. */
	private long leftAt;

	private volatile int listedGateways;

	/**
	 * Creates a gateway.
	 * @param settings addresses, retry limits and heartbeat interval
	 * @param headerNames names of the headers exchanged with callers and runners
	 * @param transport event loops; the gateway does not close them
	 * @param tables store for the registration of gateways, the lease and the layer
	 * templates
	 * @param storeEra latest era of the store, shared with all its clients
	 * @param stallProbe asks runners for the cause of a stalled path
	 * @param orderClient sends layer orders to engines
	 * @param clock monotonic clock
	 * @param incarnation number of this start of the gateway; each later start has a
	 * higher number
	 */
	public Gateway(GatewaySettings settings, HeaderNames headerNames, Transport transport, TableService tables,
			StoreEra storeEra, StallProbe stallProbe, LayerOrders orderClient, Clock clock, long incarnation) {
		this.settings = settings;
		this.clock = clock;
		this.transport = transport;
		this.tables = this.storeReach.track(tables);
		this.fleetRegistry = new FleetRegistry(clock);
		this.loadTracker = new LoadTracker(clock);
		RetryShare retryShare = new RetryShare(clock, settings.retryRatio(), settings.retrySlack(),
				settings.retryWindow(), this::daemonCount);
		this.runnerAvailability = new RunnerAvailability(clock);
		PartQuarantine partQuarantine = new PartQuarantine(clock);
		this.relayContext = new RelayContext(headerNames, settings.dataCentre(), clock, this.fleetRegistry,
				this.loadTracker, this.runnerAvailability, partQuarantine, retryShare.budget(), stallProbe,
				this::connectionPool);
		this.stateExchange = new StateExchange(transport,
				new StateExchange.LocalState(settings.vm(), settings.dataCentre(), settings.callerAddress(),
						settings.stateAddress(), settings.capacity(), this::isServing, () -> this.leaving,
						this::reachesStore, this::configurationVersion, () -> this.runnerListVersion),
				this.loadTracker, this.runnerAvailability, partQuarantine, clock, incarnation);
		this.loopMonitor = new LoopMonitor(clock);
		this.relayContext.useBacklogs(this.loopMonitor::backlog);
		this.server = new CallerServer(transport, this::callerLimits, clock, new RelayHandler(this.relayContext));
		LeaseCandidate candidate = new LeaseCandidate(settings.vm() + "/" + incarnation, LEASE_TIMES, clock,
				new Random(incarnation), this::hasHolderEnded);
		this.layerReconciler = new LayerReconciler(this.fleetRegistry, orderClient, this.tables,
				new LeaseManager("layers", candidate, this.tables, storeEra), clock, settings.runnerHeartbeat(),
				this.runnerAvailability::isLost, this.placement);
		this.registration = new GatewayRegistration(settings.vm(), settings.stateAddress().toString(), this.tables,
				storeEra, transport.control(), new Random(settings.vm().hashCode() + incarnation), this::listGateways);
		metrics().addGauge("bilberryvalve_store_era", "Latest era that the store has stated, 0 if it states none",
				storeEra::current);
	}

	// With delegates, the list of runners may be fresh although the store is not reached.
	private boolean reachesStore() {
		return this.fleetRegistry.isReachable() && (!delegates().inUse() || this.storeReach.isReached());
	}

	// A holder that is not named like a gateway keeps the lease until it expires.
	private boolean hasHolderEnded(String holder) {
		int slash = holder.lastIndexOf('/');
		try {
			return slash > 0 && this.stateExchange.hasEnded(holder.substring(0, slash),
					Long.parseLong(holder.substring(slash + 1)));
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

	/**
	 * Returns the number of daemons.
	 * @return the larger of the number of listed daemons and the number of daemons heard
	 * recently, at least 1; includes daemons that are unreachable now
	 */
	public int daemonCount() {
		return Math.max(this.listedGateways, this.stateExchange.knownCount());
	}

	private UpstreamPool connectionPool(EventLoop loop) {
		return this.pools.computeIfAbsent(loop, (key) -> new UpstreamPool(this.transport, key, this.clock));
	}

	private CallerLimits callerLimits() {
		RouteTable table = this.relayContext.table();
		return (table != null) ? table.limits() : DEFAULT_LIMITS;
	}

	private long configurationVersion() {
		RouteTable table = this.relayContext.table();
		return (table != null) ? table.version() : 0;
	}

	/**
	 * Returns the registry of runners.
	 * @return the registry; the adapter of the platform keeps it up to date
	 */
	public FleetRegistry fleetRegistry() {
		return this.fleetRegistry;
	}

	/**
	 * Applies a configuration unless a newer one is in force.
	 * @param table one version of the configuration
	 */
	public void configure(RouteTable table) {
		if (this.relayContext.configure(table)) {
			this.relayContext.dispatchWaiting();
		}
	}

	/**
	 * Sets the action to run when another gateway reports a newer configuration.
	 * @param action runs on the event loop that receives the report
	 */
	public void onNewerConfiguration(Runnable action) {
		this.stateExchange.onNewerConfiguration((version) -> action.run());
	}

	/**
	 * Sets the action to run when another gateway reports a later change of the list of
	 * runners.
	 * @param action receives the version of the store with the change, on the event loop
	 * that receives the report
	 */
	public void onNewerRunnerList(Consumer<StoreVersion> action) {
		this.stateExchange.onNewerRunnerList(action);
	}

	/**
	 * Records that the list of runners has changed. If this gateway is one of those that
	 * read the store often, the others are told.
	 * @param version version of the store with the change
	 */
	public void runnerListChanged(StoreVersion version) {
		if (this.runnerListVersion.isBefore(version)) {
			this.runnerListVersion = version;
		}
		if (isReader()) {
			this.stateExchange.sendNowToAll();
		}
	}

	/**
	 * Returns whether this gateway is one of the few that read the store often and tell
	 * the others of changes.
	 * @return {@code true} also if no other gateway is heard
	 */
	public boolean isReader() {
		return delegates().inUse() ? delegates().isFirst() : this.stateExchange.isReader();
	}

	/**
	 * Returns the role of this gateway among those that read rows of the store.
	 * @return a view that follows all changes
	 */
	public ReaderRole readerRole() {
		return ReaderRole.of(delegates());
	}

	/**
	 * Returns the record of direct calls to the store.
	 * @return the record, for calls that the gateway does not make itself
	 */
	public StoreReach storeReach() {
		return this.storeReach;
	}

	/**
	 * Returns the delegates of the data centres.
	 * @return a view that follows all changes
	 */
	public Delegates delegates() {
		return this.stateExchange.delegates();
	}

	/**
	 * Starts to listen for callers and for states of other gateways, registers this
	 * gateway, and schedules the periodic tasks.
	 * @throws IllegalStateException if an address cannot be bound
	 */
	public void start() {
		this.server.listen(this.settings.callerAddress().host(), this.settings.callerAddress().port());
		this.stateExchange.countMessages(metrics()::recordStateDatagrams);
		this.stateExchange.start();
		metrics().addGauge("bilberryvalve_state_digest_age_seconds",
				"Age of the last digest of a delegate; 0 in a fleet without delegates",
				() -> this.stateExchange.digestAgeMillis() / MILLIS_PER_SECOND);
		this.loopMonitor.start(this.transport.loops(), metrics());
		this.registration.start();
		EventLoop loop = this.transport.next();
		GuardedTask.repeat(this.transport.control(), "list-gateways", this::listGateways, LIST_INTERVAL);
		GuardedTask.repeat(loop, "check-progress", this::checkProgress, PROGRESS_CHECK_INTERVAL);
		GuardedTask.repeat(loop, "remove-expired", this::removeExpired, EXPIRY_CHECK_INTERVAL);
		GuardedTask.repeat(loop, "dispatch", this.relayContext::dispatchWaiting, DISPATCH_INTERVAL);
		GuardedTask.repeat(this.placement, "reconcile-layers", this::reconcileLayers, RECONCILE_INTERVAL);
	}

	private void listGateways() {
		this.tables.list(GatewayRegistration.TABLE, "", MAX_GATEWAYS).thenAccept((fetched) -> {
			if (fetched instanceof ReadResult.Found<List<Row>> found) {
				List<Address> addresses = found.value().stream().flatMap((row) -> parseAddress(row).stream()).toList();
				this.listedGateways = addresses.size();
				addresses.forEach(this.stateExchange::addTarget);
				this.stateExchange.sendNow();
			}
		});
	}

	private static Optional<Address> parseAddress(Row row) {
		try {
			return Optional.of(IpAddresses.parse(row.value()));
		}
		catch (IllegalArgumentException ex) {
			LogEvent.of("gateway-row-unreadable")
				.with("vm", row.key())
				.with("cause", ex.getMessage())
				.log(LOGGER, System.Logger.Level.WARNING);
			return Optional.empty();
		}
	}

	private void checkProgress() {
		long now = this.clock.millis();
		this.relayContext
			.checkProgress(this.progressCheckedAt > 0 && now - this.progressCheckedAt > PROCESS_PAUSE_MILLIS);
		this.progressCheckedAt = now;
	}

	private void removeExpired() {
		this.fleetRegistry.removeExpired();
		this.pools.forEach((loop, pool) -> loop.execute(pool::closeExpired));
	}

	private void reconcileLayers() {
		RouteTable table = this.relayContext.table();
		if (table != null && this.fleetRegistry.isLoaded()) {
			Set<RunnerId> changing = this.layerReconciler.reconcile(table, this.stateExchange.isLeader(), this.leaving);
			if (this.runnerAvailability.setChanging(changing)) {
				this.stateExchange.sendNow();
			}
		}
	}

	/**
	 * Returns the metrics of this gateway.
	 * @return counters, gauges and histograms
	 */
	public Metrics metrics() {
		return this.relayContext.metrics();
	}

	/**
	 * Returns whether callers should use this gateway.
	 * @return {@code true} if it has a configuration and a list of runners and is not
	 * leaving
	 */
	public boolean isServing() {
		return !this.leaving && this.relayContext.table() != null && this.fleetRegistry.isLoaded();
	}

	/**
	 * Returns the addresses to which callers should connect.
	 * @return addresses of the gateways that serve, this one first; if no gateway serves,
	 * addresses of those that are leaving
	 */
	public List<Address> entries() {
		List<PeerState> present = this.stateExchange.presentPeers();
		List<Address> entries = entries(present, isServing(), PeerState::serving);
		return entries.isEmpty() ? entries(present, this.leaving, PeerState::leaving) : entries;
	}

	private List<Address> entries(List<PeerState> present, boolean self, Predicate<PeerState> filter) {
		List<Address> entries = new ArrayList<>();
		if (self) {
			entries.add(this.settings.callerAddress());
		}
		present.stream().filter(filter).map(PeerState::callerAddress).forEach(entries::add);
		return entries;
	}

	private boolean hasServingPeer() {
		return this.stateExchange.presentPeers().stream().anyMatch(PeerState::serving);
	}

	/**
	 * Shuts down gracefully: callers are directed to other gateways, requests in progress
	 * may end, and late callers are still served for a while.
	 * @param limit longest time until the shutdown ends
	 * @return completes when callers had time to leave, all answers are sent and another
	 * gateway serves, or when the time limit is reached
	 */
	public CompletionStage<Void> shutDown(Duration limit) {
		this.leaving = true;
		this.server.startDraining();
		this.stateExchange.sendNow();
		LogEvent.of("leaving").with("requests", this.relayContext.activeCount()).log(LOGGER, System.Logger.Level.INFO);
		long start = this.clock.millis();
		ShutdownSchedule schedule = new ShutdownSchedule(
				start + Math.min(ACCEPT_WHILE_LEAVING_MILLIS, limit.toMillis() / 2), start + limit.toMillis());
		this.relayContext.startLeaving(schedule, this::hasServingPeer);
		CompletableFuture<Void> left = new CompletableFuture<>();
		GuardedTask.repeat(this.transport.control(), "check-shutdown", () -> checkShutdown(schedule, left),
				SHUTDOWN_POLL_INTERVAL);
		return left;
	}

	private void checkShutdown(ShutdownSchedule schedule, CompletableFuture<Void> left) {
		long now = this.clock.millis();
		if (now >= schedule.refuseAtMillis()) {
			this.server.closeIdle();
		}
		int unfinished = this.server.unfinishedCount();
		if (this.leftAt == 0 && schedule.mayStop(now, unfinished, hasServingPeer())) {
			this.leftAt = now;
			LogEvent.of("left").with("requests", unfinished).log(LOGGER, System.Logger.Level.INFO);
		}
		if (this.leftAt == 0) {
			return;
		}
		// Requests may still arrive, and their responses may need several turns of an
		// event loop.
		this.relayContext.endAll();
		long since = now - this.leftAt;
		if (since >= MAX_LAST_RESPONSES_MILLIS || (since >= MIN_LAST_RESPONSES_MILLIS && unfinished == 0)) {
			left.complete(null);
		}
	}

	/**
	 * Creates an HTTP client for short calls of control with responses of at most 16 MiB.
	 * @param transport event loops, of which the one for control runs all calls of the
	 * client
	 * @param clock monotonic clock
	 * @return a client with its own connection pool
	 */
	public static HttpClient createHttpClient(Transport transport, Clock clock) {
		return new HttpClient(new UpstreamPool(transport, transport.control(), clock));
	}

	/**
	 * Creates an HTTP client for short calls of control.
	 * @param transport event loops, of which the one for control runs all calls of the
	 * client
	 * @param clock monotonic clock
	 * @param maxBodyBytes largest body of a response
	 * @return a client with its own connection pool
	 */
	public static HttpClient createHttpClient(Transport transport, Clock clock, int maxBodyBytes) {
		return new HttpClient(new UpstreamPool(transport, transport.control(), clock), maxBodyBytes);
	}

}
