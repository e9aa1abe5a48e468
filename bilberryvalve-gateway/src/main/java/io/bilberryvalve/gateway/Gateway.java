package io.bilberryvalve.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.bilberryvalve.gateway.fleet.FleetBoard;
import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.gateway.fleet.Trust;
import io.bilberryvalve.gateway.http.CallerServer;
import io.bilberryvalve.gateway.http.HeaderNames;
import io.bilberryvalve.gateway.http.HttpClient;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.gateway.http.UpstreamPool;
import io.bilberryvalve.gateway.layers.LayerKeeper;
import io.bilberryvalve.gateway.layers.LayerOrders;
import io.bilberryvalve.gateway.peer.PeerState;
import io.bilberryvalve.gateway.peer.StateExchange;
import io.bilberryvalve.gateway.relay.RelayContext;
import io.bilberryvalve.gateway.relay.RelayHandler;
import io.bilberryvalve.gateway.relay.StallReports;
import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.lease.LeaseKeeper;
import io.bilberryvalve.policy.lease.LeaseHolder;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.membership.LeavePlan;
import io.bilberryvalve.policy.retry.RetryShare;
import io.netty.channel.EventLoop;

/**
 * A router for HTTP requests on one VM. It relays requests of callers to runners by the
 * routes of the configuration, shares the load of the runners with the gateways on other
 * VMs, and places the layers of models while it holds the lease for that.
 */
public final class Gateway {

	private static final System.Logger LOGGER = System.getLogger(Gateway.class.getName());

	/** Table in which gateways find each other. */
	private static final String TABLE = "gateways";

	private static final int MAX_GATEWAYS = 5000;

	/** A silent stream should be noticed within a small part of its target gap. */
	private static final long PROGRESS_CHECK_INTERVAL_MILLIS = 25;

	/**
	 * Connections and runners that have passed a limit are looked for at this interval.
	 */
	private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 100;

	/**
	 * Checks of progress further apart than this mean that this daemon stood still; two
	 * checks and some time for the work between them.
	 */
	private static final long PROCESS_PAUSE_MILLIS = 80;

	private static final long DISPATCH_INTERVAL_MILLIS = 50;

	private static final long RECONCILE_INTERVAL_MILLIS = 250;

	/**
	 * Gateways are listed again at this interval, so that those that missed each other
	 * meet.
	 */
	private static final long LIST_INTERVAL_SECONDS = 30;

	private static final long REGISTER_RETRY_MILLIS = 500;

	/** Callers that refresh their list every second have left after three of these. */
	private static final long ACCEPT_WHILE_LEAVING_MILLIS = 3000;

	private static final long SHUTDOWN_POLL_MILLIS = 50;

	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16384, 4 << 20, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Short, since layers of lost runners wait for the next holder; the margin covers a
	 * store that answers slowly.
	 */
	private static final LeaseTimes LEASE_TIMES = new LeaseTimes(Duration.ofSeconds(4), Duration.ofMillis(500),
			Duration.ofMillis(1000), Duration.ofSeconds(1));

	private final GatewaySettings settings;

	private final Clock clock;

	private final Transport transport;

	private final TableService tables;

	private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

	private final FleetBoard fleetRegistry;

	private final LoadBook loadTracker;

	private final Trust runnerAvailability;

	private final RelayContext relayContext;

	private final StateExchange stateExchange;

	private final CallerServer server;

	private final LayerKeeper layerReconciler;

	private long progressCheckedAt;

	private volatile boolean leaving;

	private volatile int listedGateways;

	/**
	 * Creates a gateway.
	 * @param settings the settings
	 * @param dialect header names
	 * @param transport event loops
	 * @param tables the table service
	 * @param reports asks runners about stalled paths
	 * @param orders sends orders to runners
	 * @param clock monotonic clock
	 * @param incarnation start of this gateway, rising in time
	 */
	public Gateway(GatewaySettings settings, HeaderNames dialect, Transport transport, TableService tables,
			StallReports reports, LayerOrders orders, Clock clock, long incarnation) {
		this.settings = settings;
		this.clock = clock;
		this.transport = transport;
		this.tables = tables;
		this.fleetRegistry = new FleetBoard(clock);
		this.loadTracker = new LoadBook(clock);
		RetryShare share = new RetryShare(clock, settings.retryRatio(), settings.retrySlack(), settings.retryWindow(),
				this::daemonCount);
		this.runnerAvailability = new Trust(clock);
		this.relayContext = new RelayContext(dialect, settings.dataCentre(), clock, this.fleetRegistry,
				this.loadTracker, this.runnerAvailability, share.budget(), reports, this::connectionPool);
		this.stateExchange = new StateExchange(transport,
				new StateExchange.LocalState(settings.vm(), settings.dataCentre(), settings.callerAddress(),
						settings.stateAddress(), this::isServing, () -> this.leaving, this.fleetRegistry::reachable,
						this::configurationVersion),
				this.loadTracker, this.runnerAvailability, clock, incarnation);
		this.server = new CallerServer(transport, this::callerLimits, clock, new RelayHandler(this.relayContext));
		LeaseHolder holder = new LeaseHolder(settings.vm() + "/" + incarnation, LEASE_TIMES, clock,
				new Random(incarnation), this::hasHolderEnded);
		this.layerReconciler = new LayerKeeper(this.fleetRegistry, orders, tables,
				new LeaseKeeper("layers", holder, tables), clock, settings.runnerHeartbeat(),
				this.runnerAvailability::isLost);
	}

	private boolean hasHolderEnded(String holder) {
		int slash = holder.lastIndexOf('/');
		return slash > 0
				&& this.stateExchange.hasEnded(holder.substring(0, slash), Long.parseLong(holder.substring(slash + 1)));
	}

	// Counts daemons that are listed or were heard lately, also those that cannot be
	// reached now.
	private int daemonCount() {
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
	 * Returns the runners.
	 * @return the board to keep up to date
	 */
	public FleetBoard fleetRegistry() {
		return this.fleetRegistry;
	}

	/**
	 * Puts a configuration in force, unless a newer one is.
	 * @param table the configuration
	 */
	public void configure(RouteTable table) {
		if (this.relayContext.configure(table)) {
			this.relayContext.pump();
		}
	}

	/**
	 * Sets what to do when another gateway has a newer configuration.
	 * @param action the action
	 */
	public void onNewerConfiguration(Runnable action) {
		this.stateExchange.onNewerConfiguration((version) -> action.run());
	}

	/**
	 * Starts to serve.
	 * @throws IllegalStateException if an address cannot be used
	 */
	public void start() {
		this.server.listen(this.settings.callerAddress().host(), this.settings.callerAddress().port());
		this.stateExchange.start();
		register();
		EventLoop loop = this.transport.next();
		loop.scheduleWithFixedDelay(this::listGateways, LIST_INTERVAL_SECONDS, LIST_INTERVAL_SECONDS, TimeUnit.SECONDS);
		loop.scheduleWithFixedDelay(this::checkProgress, PROGRESS_CHECK_INTERVAL_MILLIS, PROGRESS_CHECK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(this::removeExpired, EXPIRY_CHECK_INTERVAL_MILLIS, EXPIRY_CHECK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(this.relayContext::pump, DISPATCH_INTERVAL_MILLIS, DISPATCH_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(this::reconcileLayers, RECONCILE_INTERVAL_MILLIS, RECONCILE_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void register() {
		this.tables
			.commit(List
				.of(new Operation.Put(TABLE, this.settings.vm(), null, this.settings.stateAddress().toString())))
			.thenAccept((commit) -> {
				if (commit instanceof Commit.Committed) {
					listGateways();
				}
				else {
					this.transport.next().schedule(this::register, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
	}

	private void listGateways() {
		this.tables.list(TABLE, "", MAX_GATEWAYS).thenAccept((fetched) -> {
			if (fetched instanceof Fetched.Found<List<Row>> found) {
				this.listedGateways = found.value().size();
				found.value().forEach((row) -> this.stateExchange.addTarget(Address.parse(row.value())));
				this.stateExchange.sendNow();
			}
		});
	}

	private void checkProgress() {
		long now = this.clock.millis();
		this.relayContext.sweep(this.progressCheckedAt > 0 && now - this.progressCheckedAt > PROCESS_PAUSE_MILLIS);
		this.progressCheckedAt = now;
	}

	private void removeExpired() {
		this.fleetRegistry.sweep();
		this.pools.forEach((loop, pool) -> loop.execute(pool::closeExpired));
	}

	private void reconcileLayers() {
		RouteTable table = this.relayContext.table();
		if (table != null && this.fleetRegistry.known()) {
			Set<RunnerId> changing = this.layerReconciler.tick(table, this.stateExchange.isLeader(), this.leaving);
			if (this.runnerAvailability.change(changing)) {
				this.stateExchange.sendNow();
			}
		}
	}

	/**
	 * Returns the metrics.
	 * @return counters and histograms
	 */
	public Metrics metrics() {
		return this.relayContext.metrics();
	}

	/**
	 * Tells whether callers should use this gateway.
	 * @return whether it knows its configuration and runners and is not leaving
	 */
	public boolean isServing() {
		return !this.leaving && this.relayContext.table() != null && this.fleetRegistry.known();
	}

	/**
	 * Returns where callers should connect.
	 * @return addresses of the gateways that serve, this one first; if none does, those
	 * that are leaving
	 */
	public List<Address> entries() {
		List<PeerState> present = this.stateExchange.presentPeers();
		List<Address> entries = entries(present, isServing(), PeerState::serving);
		return entries.isEmpty() ? entries(present, this.leaving, PeerState::leaving) : entries;
	}

	private List<Address> entries(List<PeerState> present, boolean self, Predicate<PeerState> which) {
		List<Address> entries = new ArrayList<>();
		if (self) {
			entries.add(this.settings.callerAddress());
		}
		present.stream().filter(which).map(PeerState::callerAddress).forEach(entries::add);
		return entries;
	}

	private boolean hasServingPeer() {
		return this.stateExchange.presentPeers().stream().anyMatch(PeerState::serving);
	}

	/**
	 * Leaves: callers are sent elsewhere, requests in progress end, and late callers are
	 * still served for a while.
	 * @param limit longest time
	 * @return completes when no request is left, or when the time is over
	 */
	public CompletionStage<Void> shutDown(Duration limit) {
		this.leaving = true;
		this.server.startDraining();
		this.stateExchange.sendNow();
		LogEvent.of("leaving").with("requests", this.relayContext.active()).log(LOGGER, System.Logger.Level.INFO);
		long start = this.clock.millis();
		LeavePlan plan = new LeavePlan(start + Math.min(ACCEPT_WHILE_LEAVING_MILLIS, limit.toMillis() / 2),
				start + limit.toMillis());
		this.relayContext.leave(plan, this::hasServingPeer);
		CompletableFuture<Void> left = new CompletableFuture<>();
		this.transport.next()
			.scheduleWithFixedDelay(() -> checkShutdown(plan, left), SHUTDOWN_POLL_MILLIS, SHUTDOWN_POLL_MILLIS,
					TimeUnit.MILLISECONDS);
		return left;
	}

	private void checkShutdown(LeavePlan plan, CompletableFuture<Void> left) {
		long now = this.clock.millis();
		if (now >= plan.refuseAt()) {
			this.server.closeIdle();
		}
		if (!left.isDone() && plan.ended(now, this.relayContext.active(), hasServingPeer())) {
			LogEvent.of("left").with("requests", this.relayContext.active()).log(LOGGER, System.Logger.Level.INFO);
			left.complete(null);
		}
	}

	/**
	 * Creates a caller for short calls.
	 * @param transport event loops
	 * @param clock monotonic clock
	 * @return the caller
	 */
	public static HttpClient createHttpClient(Transport transport, Clock clock) {
		return new HttpClient(new UpstreamPool(transport, transport.next(), clock));
	}

}
