package io.bilberryvalve.daemon;

import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.config.DaemonSettings;
import io.bilberryvalve.daemon.call.CallDispatcher;
import io.bilberryvalve.daemon.call.CallHandler;
import io.bilberryvalve.daemon.call.ExecutionCleaner;
import io.bilberryvalve.daemon.call.ExecutionStore;
import io.bilberryvalve.daemon.call.HttpApplicationClient;
import io.bilberryvalve.daemon.call.IssuedKeyCallService;
import io.bilberryvalve.daemon.call.RetryAllowance;
import io.bilberryvalve.daemon.call.RunnerRotation;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.engine.HttpEngineClient;
import io.bilberryvalve.daemon.http.Bodies;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.daemon.peer.NettyPeerNetwork;
import io.bilberryvalve.daemon.peer.VmDirectory;
import io.bilberryvalve.daemon.reply.CompletionHandler;
import io.bilberryvalve.daemon.reply.FractionRepairBudget;
import io.bilberryvalve.daemon.reply.ReplyServices;
import io.bilberryvalve.daemon.reply.ReplySettings;
import io.bilberryvalve.daemon.report.BurnTracker;
import io.bilberryvalve.daemon.report.Metrics;
import io.bilberryvalve.daemon.runner.ListedRunners;
import io.bilberryvalve.daemon.runner.LoadMonitor;
import io.bilberryvalve.daemon.runner.LoadMonitorSettings;
import io.bilberryvalve.daemon.runner.RunnerFleet;
import io.bilberryvalve.daemon.share.AdmissionStatus;
import io.bilberryvalve.daemon.share.FairAdmission;
import io.bilberryvalve.platform.Platform;
import io.bilberryvalve.policy.choice.FusedLoadChooser;
import io.bilberryvalve.policy.once.IssuedKeys;
import io.bilberryvalve.policy.once.OnceLimits;
import io.bilberryvalve.policy.once.RecordExpiry;
import io.bilberryvalve.policy.once.RecordedExecutions;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.bilberryvalve.policy.share.QueueLimits;

/**
 * The parts of a daemon that answer callers: replies of models and calls of applications.
 */
final class RequestParts {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

	/** Longest time of a KV transfer; after it the new runner rebuilds the cache. */
	private static final Duration ENGINE_CALL_TIMEOUT = Duration.ofMillis(500);

	private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration REPLY_TICK = Duration.ofMillis(50);

	private static final Duration POLL_TICK = Duration.ofMillis(50);

	private static final Duration CLEANING_INTERVAL = Duration.ofSeconds(30);

	private static final double REPAIRS_PER_REPLY = 0.1;

	/** Replies that can be repaired at once after the loss of a machine. */
	private static final int REPAIR_RESERVE = 200;

	private static final int CHOICE_SAMPLES = 3;

	private static final int ISSUED_KEYS = 100_000;

	private final CompletionHandler completions;

	private final ExecutionStore executions;

	private final CallHandler calls;

	private final RunnerFleet fleet;

	private final FairAdmission admission;

	RequestParts(DaemonSettings settings, Clock clock, Background background, ConfigurationSource configuration,
			NettyPeerNetwork peers, VmDirectory directory, Platform platform, Metrics metrics, BurnTracker burn) {
		long incarnation = peers.identity().incarnation();
		this.fleet = new RunnerFleet(clock, configuration, new FusedLoadChooser(CHOICE_SAMPLES),
				new ListedRunners(configuration, directory::leaving));
		this.admission = new FairAdmission(settings.vm(), incarnation, this.fleet::capacity, configuration, peers,
				new QueueLimits(settings.limits().teamQueue(), settings.limits().totalQueue()), clock);
		HttpEngineClient engines = new HttpEngineClient(CONNECT_TIMEOUT, PROBE_TIMEOUT, ENGINE_CALL_TIMEOUT);
		LoadMonitor monitor = new LoadMonitor(this.fleet, engines, configuration, clock, new SplittableRandom(),
				LoadMonitorSettings.defaults());
		ReplyServices services = new ReplyServices(clock, engines, this.fleet, this.admission,
				new FractionRepairBudget(REPAIRS_PER_REPLY, REPAIR_RESERVE), ReplySettings.of(settings.limits()));
		this.completions = new CompletionHandler(services, configuration, peers, settings.vm(), incarnation,
				new Bodies(settings.limits().bodyBytes(), BODY_TIMEOUT), burn);
		this.executions = executions(settings, clock, background, platform, incarnation);
		this.calls = calls(settings, clock, configuration, peers, directory, incarnation);
		background.every(REPLY_TICK, "replies", this.completions::tick).every(POLL_TICK, "loads", monitor::tick);
		this.admission.start();
		metrics.gauge("replies_in_progress", "Replies in progress.", this.completions::active)
			.gauge("requests_waiting", "Requests waiting for admission.", () -> this.admission.status().waiting())
			.gauge("peer_bytes", "Bytes exchanged with other daemons since the start.", peers::traffic);
	}

	List<Route> routes() {
		List<Route> routes = new ArrayList<>(this.completions.routes());
		routes.addAll(this.calls.routes());
		return routes;
	}

	void close() {
		this.admission.close();
	}

	void addTo(ObjectNode node) {
		AdmissionStatus status = this.admission.status();
		node.put("streamLimit", status.limit());
		node.put("streamsRunning", status.running());
		node.put("requestsWaiting", status.waiting());
		node.put("isolated", status.isolated());
		node.put("repliesInProgress", this.completions.active());
		node.put("plannedModels", this.fleet.table().sets().size());
	}

	/**
	 * Returns the calls whose results are not recorded yet.
	 * @return the number of calls
	 */
	int unsettled() {
		return this.executions.unsettledKeys();
	}

	private static ExecutionStore executions(DaemonSettings settings, Clock clock, Background background,
			Platform platform, long incarnation) {
		String run = settings.vm() + "_" + incarnation;
		AtomicLong attempts = new AtomicLong();
		RecordedExecutions ledger = new RecordedExecutions(clock, OnceLimits.defaults(),
				() -> run + "_" + attempts.getAndIncrement());
		ExecutionCleaner cleaner = new ExecutionCleaner(platform.tables(),
				new RecordExpiry(OnceLimits.defaults().lifetime()), clock);
		background.every(CLEANING_INTERVAL, "execution-records", cleaner::deleteExpired);
		return new ExecutionStore(platform.tables(), ledger, run, clock, background.timer());
	}

	private CallHandler calls(DaemonSettings settings, Clock clock, ConfigurationSource configuration,
			NettyPeerNetwork peers, VmDirectory directory, long incarnation) {
		SecureRandom random = new SecureRandom();
		CallDispatcher dispatcher = new CallDispatcher(new RunnerRotation(configuration, clock, directory::leaving),
				new HttpApplicationClient(CONNECT_TIMEOUT), allowance(clock), clock);
		IssuedKeys keys = new IssuedKeys(settings.vm(), incarnation, clock, random::nextLong, ISSUED_KEYS);
		IssuedKeyCallService issued = new IssuedKeyCallService(settings.vm(), keys, dispatcher, peers, clock);
		return new CallHandler(configuration, new Bodies(settings.limits().bodyBytes(), BODY_TIMEOUT), dispatcher,
				this.executions, issued, settings.limits().requestTimeout(), clock);
	}

	private static RetryAllowance allowance(Clock clock) {
		RetryBudget budget = new RetryBudget(clock);
		return new RetryAllowance() {

			@Override
			public void recordAttempt() {
				budget.request();
			}

			@Override
			public boolean tryRetry() {
				return budget.tryRetry();
			}

		};
	}

}
