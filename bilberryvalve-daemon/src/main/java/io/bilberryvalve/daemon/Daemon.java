package io.bilberryvalve.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;

import io.bilberryvalve.config.DaemonSettings;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHandler;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.configuration.ConfigurationParser;
import io.bilberryvalve.daemon.configuration.ConfigurationRollout;
import io.bilberryvalve.daemon.configuration.DocumentParser;
import io.bilberryvalve.daemon.configuration.SubmissionService;
import io.bilberryvalve.daemon.http.BodyReader;
import io.bilberryvalve.daemon.http.Credentials;
import io.bilberryvalve.daemon.http.EntryServer;
import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.daemon.http.Router;
import io.bilberryvalve.daemon.lifecycle.DrainCoordinator;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.daemon.order.HttpEngineOrderClient;
import io.bilberryvalve.daemon.order.OrderService;
import io.bilberryvalve.daemon.peer.EntriesHandler;
import io.bilberryvalve.daemon.peer.NettyPeerNetwork;
import io.bilberryvalve.daemon.peer.PeerSettings;
import io.bilberryvalve.daemon.peer.VmDirectory;
import io.bilberryvalve.daemon.report.BurnRateTracker;
import io.bilberryvalve.daemon.report.Metrics;
import io.bilberryvalve.daemon.report.ReportHandler;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.PlatformServices;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.rollout.RefreshSchedule;
import io.bilberryvalve.wire.FederationSecret;
import org.jspecify.annotations.Nullable;

/**
 * An entry daemon. Creates the components, connects them, and shuts them down in order.
 */
public final class Daemon {

	private static final System.Logger LOGGER = System.getLogger(Daemon.class.getName());

	private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(2);

	/**
	 * Limit of the rate at which all daemons of the federation together read the
	 * configuration from the store.
	 */
	private static final double CONFIGURATION_READS_PER_SECOND = 100;

	private static final Duration ORDER_CONNECT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration ORDER_TICK_INTERVAL = Duration.ofMillis(200);

	/**
	 * Longest time that a shutdown waits until the results of all calls are recorded, so
	 * that an outage of the store does not block it.
	 */
	private static final Duration RECORDING_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration RECORDING_POLL_INTERVAL = Duration.ofMillis(50);

	private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration SUBMISSION_BODY_TIMEOUT = Duration.ofSeconds(10);

	private final DaemonSettings settings;

	private final Lifecycle lifecycle = new Lifecycle();

	private final Clock clock = new MonotonicClock();

	private final BackgroundScheduler background = new BackgroundScheduler();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final Metrics metrics = new Metrics();

	private final BurnRateTracker burnRates = new BurnRateTracker(this.clock);

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final PlatformServices platform;

	private final NettyPeerNetwork peers;

	private final ConfigurationRollout rollout;

	private final DrainCoordinator drain;

	private final RequestServices requestServices;

	private final EntryServer server;

	private final @Nullable EntryServer http2Server;

	private Daemon(DaemonSettings settings) throws Exception {
		this.settings = settings;
		this.platform = PlatformClients.create(settings);
		RolloutVersions versions = new RolloutVersions();
		VmDirectory directory = new VmDirectory(settings.seedPeers(), this.platform.vms());
		this.background.scheduleRepeated(VM_LIST_INTERVAL, "vm-list", directory::refresh);
		this.peers = startPeers(versions, directory);
		ConfigurationParser parser = new DocumentParser();
		Timer timer = this.background.timer();
		this.rollout = new ConfigurationRollout(this.configuration, parser, this.platform, this.peers, timer,
				new RefreshSchedule(CONFIGURATION_READS_PER_SECOND, ThreadLocalRandom.current()),
				() -> this.peers.peers().size() + 1, new SecureRandom());
		versions.setRollout(this.rollout);
		this.drain = new DrainCoordinator(this.lifecycle, this.peers::announceState, settings.entryListTtl(),
				this.clock);
		this.requestServices = new RequestServices(settings, this.clock, this.background, this.configuration,
				this.peers, directory, this.platform, this.metrics, this.burnRates);
		startOrders();
		Credentials credentials = new Credentials(this.configuration, bootstrapPrincipals(settings));
		Router router = new Router(routes(parser, timer), credentials, this.lifecycle, this.metrics, this.clock);
		this.server = EntryServer.start(socketAddress(settings.callerAddress()), router, settings.limits());
		this.http2Server = (settings.http2Address() != null)
				? EntryServer.startHttp2(socketAddress(settings.http2Address()), router, settings.limits()) : null;
	}

	/**
	 * Starts a daemon.
	 * @param settings settings of the daemon
	 * @return the running daemon; it accepts requests once it has a configuration
	 * @throws Exception if the daemon cannot listen on an address or cannot read a file
	 */
	public static Daemon start(DaemonSettings settings) throws Exception {
		Daemon daemon = new Daemon(settings);
		daemon.rollout.addReadyListener(daemon::becomeReady);
		daemon.rollout.start();
		daemon.drain.completion()
			.thenRun(() -> daemon.stopWhenRecorded(daemon.clock.instant().plus(RECORDING_TIMEOUT)));
		LogEvent.of("started")
			.with("vm", settings.vm())
			.with("callers", daemon.server.address())
			.log(LOGGER, System.Logger.Level.INFO);
		return daemon;
	}

	/**
	 * Shuts down gracefully: leaves the entry lists of callers, finishes the requests in
	 * progress and stops. Returns when the daemon has stopped.
	 */
	public void drain() {
		this.drain.drain();
		try {
			awaitStopped();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Waits until the daemon has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStopped() throws InterruptedException {
		this.stopped.await();
	}

	private void becomeReady() {
		if (this.lifecycle.advanceTo(ServingState.READY)) {
			LogEvent.of("ready")
				.with("vm", this.settings.vm())
				.with("configuration", this.configuration.current().version())
				.log(LOGGER, System.Logger.Level.INFO);
		}
	}

	// Waits until the results of all calls are recorded: if a result were missing, a
	// repetition of its call would always be answered with outcome "unknown".
	private void stopWhenRecorded(Instant limit) {
		int unrecorded = this.requestServices.unrecordedResults();
		if (unrecorded > 0 && this.clock.instant().isBefore(limit)) {
			this.background.timer().schedule(RECORDING_POLL_INTERVAL, () -> stopWhenRecorded(limit));
			return;
		}
		if (unrecorded > 0) {
			LogEvent.of("results-not-recorded").with("calls", unrecorded).log(LOGGER, System.Logger.Level.WARNING);
		}
		stop();
	}

	private void stop() {
		this.rollout.stop();
		this.requestServices.close();
		try {
			this.server.close();
			if (this.http2Server != null) {
				this.http2Server.close();
			}
		}
		catch (Exception ex) {
			LogEvent.of("server-close-failed").with("cause", ex).log(LOGGER, System.Logger.Level.WARNING);
		}
		this.peers.close();
		this.background.close();
		LogEvent.of("stopped").with("vm", this.settings.vm()).log(LOGGER, System.Logger.Level.INFO);
		this.stopped.countDown();
	}

	private void startOrders() {
		OrderService.DaemonIdentity self = new OrderService.DaemonIdentity(this.settings.vm(),
				this.settings.vm() + "_" + this.peers.identity().incarnation());
		OrderService orders = new OrderService(self, this.configuration, this.peers, this.lifecycle,
				this.platform.tables(), new HttpEngineOrderClient(ORDER_CONNECT_TIMEOUT),
				LeaseTimes.defaults().withOrderTimeout(this.settings.limits().orderTimeout()), this.clock,
				new SplittableRandom());
		this.background.scheduleRepeated(ORDER_TICK_INTERVAL, "engine-orders", orders::tick);
		this.metrics.registerGauge("leases_held", "Leases held by this daemon.", orders::heldLeases);
	}

	private NettyPeerNetwork startPeers(RolloutVersions versions, VmDirectory directory) throws Exception {
		String secret = Files.readString(this.settings.federationSecretFile(), StandardCharsets.UTF_8);
		Address address = this.settings.peerAddress();
		PeerSettings peerSettings = PeerSettings
			.of(this.settings.vm(), this.clock.millis(), this.settings.dataCentre(), this.settings.callerAddress(),
					address.host(), address.port(), FederationSecret.of(secret.trim()))
			.withMaxSubmissionBytes(this.settings.limits().submissionBytes());
		NettyPeerNetwork network = new NettyPeerNetwork(peerSettings, this.lifecycle, directory, versions,
				this::regionOf, this.clock);
		network.start();
		return network;
	}

	private RegionId regionOf(DataCentreId dataCentre) {
		for (FederationPart.DataCentre known : this.configuration.current().federation().dataCentres()) {
			if (known.dataCentre().equals(dataCentre)) {
				return known.region();
			}
		}
		return this.settings.region();
	}

	private List<Route> routes(ConfigurationParser parser, Timer timer) {
		SubmissionService submissions = new SubmissionService(this.platform.tables(), this.rollout, parser, this.clock,
				timer, SUBMISSION_TIMEOUT);
		BodyReader bodyReader = new BodyReader(this.settings.limits().submissionBytes(), SUBMISSION_BODY_TIMEOUT);
		List<Route> routes = new ArrayList<>(this.requestServices.routes());
		routes.addAll(new ConfigurationHandler(this.configuration, this.rollout, submissions, bodyReader).routes());
		routes.addAll(new EntriesHandler(this.peers::localMember, this.peers::members, this.lifecycle,
				this.settings.entryListTtl())
			.routes());
		routes.addAll(this.drain.routes());
		routes.addAll(new ReportHandler(this.settings.vm(), this.lifecycle, this.metrics, this.burnRates, (node) -> {
			node.put("configuration", this.configuration.current().version());
			node.put("connectedPeers", this.peers.connectedVms().size());
			this.requestServices.addStatus(node);
		}).routes());
		return routes;
	}

	private static InetSocketAddress socketAddress(Address address) {
		return new InetSocketAddress(address.host(), address.port());
	}

	private static Map<String, Principal> bootstrapPrincipals(DaemonSettings settings) {
		Map<String, Principal> principals = new HashMap<>();
		if (settings.bootstrapOperatorDigest() != null) {
			principals.put(settings.bootstrapOperatorDigest(), ConfigurationHandler.BOOTSTRAP_OPERATOR);
		}
		return principals;
	}

}
