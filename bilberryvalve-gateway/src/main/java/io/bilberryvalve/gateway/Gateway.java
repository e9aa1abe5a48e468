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
import io.bilberryvalve.gateway.http.Dialect;
import io.bilberryvalve.gateway.http.HttpCaller;
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
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.lease.LeaseManager;
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
	private static final long PROGRESS_MILLIS = 25;

	/**
	 * Connections and runners that have passed a limit are looked for at this interval.
	 */
	private static final long SWEEP_MILLIS = 100;

	/**
	 * Checks of progress further apart than this mean that this daemon stood still; two
	 * checks and some time for the work between them.
	 */
	private static final long STILL_MILLIS = 80;

	private static final long PUMP_MILLIS = 50;

	private static final long KEEP_MILLIS = 250;

	/**
	 * Gateways are listed again at this interval, so that those that missed each other
	 * meet.
	 */
	private static final long LIST_SECONDS = 30;

	private static final long REGISTER_RETRY_MILLIS = 500;

	/** Callers that refresh their list every second have left after three of these. */
	private static final long LEAVE_MILLIS = 3000;

	private static final long LEAVE_POLL_MILLIS = 50;

	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16384, 4 << 20, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Short, since layers of lost runners wait for the next holder; the margin covers a
	 * store that answers slowly.
	 */
	private static final LeaseTimes LEASE = new LeaseTimes(Duration.ofSeconds(4), Duration.ofMillis(500),
			Duration.ofMillis(1000), Duration.ofSeconds(1));

	private final GatewaySettings settings;

	private final Clock clock;

	private final Transport transport;

	private final TableService tables;

	private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

	private final FleetBoard board;

	private final LoadBook loads;

	private final Trust trust;

	private final RelayContext context;

	private final StateExchange exchange;

	private final CallerServer server;

	private final LayerKeeper keeper;

	private long checkedAt;

	private volatile boolean leaving;

	private volatile int listed;

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
	public Gateway(GatewaySettings settings, Dialect dialect, Transport transport, TableService tables,
			StallReports reports, LayerOrders orders, Clock clock, long incarnation) {
		this.settings = settings;
		this.clock = clock;
		this.transport = transport;
		this.tables = tables;
		this.board = new FleetBoard(clock);
		this.loads = new LoadBook(clock);
		RetryShare share = new RetryShare(clock, settings.retryRatio(), settings.retrySlack(), settings.retryWindow(),
				this::daemons);
		this.trust = new Trust(clock);
		this.context = new RelayContext(dialect, settings.dataCentre(), clock, this.board, this.loads, this.trust,
				share.budget(), reports, this::pool);
		this.exchange = new StateExchange(transport,
				new StateExchange.Self(settings.vm(), settings.dataCentre(), settings.callers(), settings.state(),
						this::serving, () -> this.leaving, this.board::reachable, this::configuration),
				this.loads, this.trust, clock, incarnation);
		this.server = new CallerServer(transport, this::limits, clock, new RelayHandler(this.context));
		LeaseHolder holder = new LeaseHolder(settings.vm() + "/" + incarnation, LEASE, clock, new Random(incarnation),
				this::holderEnded);
		this.keeper = new LayerKeeper(this.board, orders, tables, new LeaseManager("layers", holder, tables), clock,
				settings.runnerHeartbeat(), this.trust::isLost);
	}

	private boolean holderEnded(String holder) {
		int slash = holder.lastIndexOf('/');
		return slash > 0
				&& this.exchange.ended(holder.substring(0, slash), Long.parseLong(holder.substring(slash + 1)));
	}

	// Counts daemons that are listed or were heard lately, also those that cannot be
	// reached now.
	private int daemons() {
		return Math.max(this.listed, this.exchange.known());
	}

	private UpstreamPool pool(EventLoop loop) {
		return this.pools.computeIfAbsent(loop, (key) -> new UpstreamPool(this.transport, key, this.clock));
	}

	private CallerLimits limits() {
		RouteTable table = this.context.table();
		return (table != null) ? table.limits() : DEFAULT_LIMITS;
	}

	private long configuration() {
		RouteTable table = this.context.table();
		return (table != null) ? table.version() : 0;
	}

	/**
	 * Returns the runners.
	 * @return the board to keep up to date
	 */
	public FleetBoard board() {
		return this.board;
	}

	/**
	 * Puts a configuration in force, unless a newer one is.
	 * @param table the configuration
	 */
	public void configure(RouteTable table) {
		if (this.context.configure(table)) {
			this.context.pump();
		}
	}

	/**
	 * Sets what to do when another gateway has a newer configuration.
	 * @param action the action
	 */
	public void onNewerConfiguration(Runnable action) {
		this.exchange.onNewerConfiguration((version) -> action.run());
	}

	/**
	 * Starts to serve.
	 * @throws IllegalStateException if an address cannot be used
	 */
	public void start() {
		this.server.listen(this.settings.callers().host(), this.settings.callers().port());
		this.exchange.start();
		register();
		EventLoop loop = this.transport.next();
		loop.scheduleWithFixedDelay(this::list, LIST_SECONDS, LIST_SECONDS, TimeUnit.SECONDS);
		loop.scheduleWithFixedDelay(this::checkProgress, PROGRESS_MILLIS, PROGRESS_MILLIS, TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(this.context::pump, PUMP_MILLIS, PUMP_MILLIS, TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(this::keep, KEEP_MILLIS, KEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void register() {
		this.tables
			.commit(List.of(new RowOperation.Put(TABLE, this.settings.vm(), null, this.settings.state().toString())))
			.thenAccept((commit) -> {
				if (commit instanceof CommitResult.Committed) {
					list();
				}
				else {
					this.transport.next().schedule(this::register, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
	}

	private void list() {
		this.tables.list(TABLE, "", MAX_GATEWAYS).thenAccept((fetched) -> {
			if (fetched instanceof ReadResult.Found<List<Row>> found) {
				this.listed = found.value().size();
				found.value().forEach((row) -> this.exchange.learn(Address.parse(row.value())));
				this.exchange.sendNow();
			}
		});
	}

	private void checkProgress() {
		long now = this.clock.millis();
		this.context.sweep(this.checkedAt > 0 && now - this.checkedAt > STILL_MILLIS);
		this.checkedAt = now;
	}

	private void sweep() {
		this.board.sweep();
		this.pools.forEach((loop, pool) -> loop.execute(pool::sweep));
	}

	private void keep() {
		RouteTable table = this.context.table();
		if (table != null && this.board.known()) {
			Set<RunnerId> changing = this.keeper.tick(table, this.exchange.leads(), this.leaving);
			if (this.trust.change(changing)) {
				this.exchange.sendNow();
			}
		}
	}

	/**
	 * Returns the metrics.
	 * @return counters and histograms
	 */
	public Metrics metrics() {
		return this.context.metrics();
	}

	/**
	 * Tells whether callers should use this gateway.
	 * @return whether it knows its configuration and runners and is not leaving
	 */
	public boolean serving() {
		return !this.leaving && this.context.table() != null && this.board.known();
	}

	/**
	 * Returns where callers should connect.
	 * @return addresses of the gateways that serve, this one first; if none does, those
	 * that are leaving
	 */
	public List<Address> entries() {
		List<PeerState> present = this.exchange.present();
		List<Address> entries = entries(present, serving(), PeerState::serving);
		return entries.isEmpty() ? entries(present, this.leaving, PeerState::leaving) : entries;
	}

	private List<Address> entries(List<PeerState> present, boolean self, Predicate<PeerState> which) {
		List<Address> entries = new ArrayList<>();
		if (self) {
			entries.add(this.settings.callers());
		}
		present.stream().filter(which).map(PeerState::callers).forEach(entries::add);
		return entries;
	}

	private boolean othersServe() {
		return this.exchange.present().stream().anyMatch(PeerState::serving);
	}

	/**
	 * Leaves: callers are sent elsewhere, requests in progress end, and late callers are
	 * still served for a while.
	 * @param limit longest time
	 * @return completes when no request is left, or when the time is over
	 */
	public CompletionStage<Void> leave(Duration limit) {
		this.leaving = true;
		this.server.leave();
		this.exchange.sendNow();
		LogEvent.of("leaving").with("requests", this.context.active()).log(LOGGER, System.Logger.Level.INFO);
		long start = this.clock.millis();
		LeavePlan plan = new LeavePlan(start + Math.min(LEAVE_MILLIS, limit.toMillis() / 2), start + limit.toMillis());
		this.context.leave(plan, this::othersServe);
		CompletableFuture<Void> left = new CompletableFuture<>();
		this.transport.next()
			.scheduleWithFixedDelay(() -> checkLeft(plan, left), LEAVE_POLL_MILLIS, LEAVE_POLL_MILLIS,
					TimeUnit.MILLISECONDS);
		return left;
	}

	private void checkLeft(LeavePlan plan, CompletableFuture<Void> left) {
		long now = this.clock.millis();
		if (now >= plan.refuseAt()) {
			this.server.closeUnused();
		}
		if (!left.isDone() && plan.ended(now, this.context.active(), othersServe())) {
			LogEvent.of("left").with("requests", this.context.active()).log(LOGGER, System.Logger.Level.INFO);
			left.complete(null);
		}
	}

	/**
	 * Creates a caller for short calls.
	 * @param transport event loops
	 * @param clock monotonic clock
	 * @return the caller
	 */
	public static HttpCaller caller(Transport transport, Clock clock) {
		return new HttpCaller(new UpstreamPool(transport, transport.next(), clock));
	}

}
