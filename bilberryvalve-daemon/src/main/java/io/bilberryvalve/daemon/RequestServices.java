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
import io.bilberryvalve.daemon.http.BodyReader;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.daemon.peer.NettyPeerNetwork;
import io.bilberryvalve.daemon.peer.VmDirectory;
import io.bilberryvalve.daemon.reply.CompletionHandler;
import io.bilberryvalve.daemon.reply.FractionRepairBudget;
import io.bilberryvalve.daemon.reply.ReplyServices;
import io.bilberryvalve.daemon.reply.ReplySettings;
import io.bilberryvalve.daemon.report.BurnRateTracker;
import io.bilberryvalve.daemon.report.Metrics;
import io.bilberryvalve.daemon.runner.LoadMonitor;
import io.bilberryvalve.daemon.runner.LoadMonitorSettings;
import io.bilberryvalve.daemon.runner.RunnerFleet;
import io.bilberryvalve.daemon.runner.VmListLeavingRunners;
import io.bilberryvalve.daemon.share.AdmissionStatus;
import io.bilberryvalve.daemon.share.FairAdmission;
import io.bilberryvalve.platform.PlatformServices;
import io.bilberryvalve.policy.choice.EstimatedLoadChooser;
import io.bilberryvalve.policy.once.ExecutionLimits;
import io.bilberryvalve.policy.once.IssuedKeys;
import io.bilberryvalve.policy.once.RecordExpiry;
import io.bilberryvalve.policy.once.RecordedExecutionTracker;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.bilberryvalve.policy.share.QueueLimits;

/**
 * Creates and owns the services that handle the requests of callers: replies of models
 * and calls of applications.
 */
final class RequestServices {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Timeout of engine calls such as the transfer of a KV cache. If a transfer times
	 * out, the new runner computes the cache again.
	 */
	private static final Duration ENGINE_CALL_TIMEOUT = Duration.ofMillis(500);

	private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration REPLY_TICK_INTERVAL = Duration.ofMillis(50);

	private static final Duration LOAD_TICK_INTERVAL = Duration.ofMillis(50);

	private static final Duration CLEANING_INTERVAL = Duration.ofSeconds(30);

	/** Repairs that each reply adds to the budget of its entry. */
	private static final double REPAIRS_PER_REPLY = 0.1;

	/**
	 * Largest balance of the repair budget: the number of replies that can be repaired at
	 * once after a machine has failed.
	 */
	private static final int MAX_SAVED_REPAIRS = 200;

	/** Number of candidates drawn at random for each choice of a chain of runners. */
	private static final int CHOICE_SAMPLES = 3;

	private static final int MAX_ISSUED_KEYS = 100_000;

	private final CompletionHandler completionHandler;

	private final ExecutionStore executions;

	private final CallHandler callHandler;

	private final RunnerFleet fleet;

	private final FairAdmission admission;

	RequestServices(DaemonSettings settings, Clock clock, BackgroundScheduler background,
			ConfigurationSource configuration, NettyPeerNetwork peers, VmDirectory directory, PlatformServices platform,
			Metrics metrics, BurnRateTracker burnRates) {
		long incarnation = peers.identity().incarnation();
		this.fleet = new RunnerFleet(clock, configuration, new EstimatedLoadChooser(CHOICE_SAMPLES),
				new VmListLeavingRunners(configuration, directory::isLeaving));
		this.admission = new FairAdmission(settings.vm(), incarnation, this.fleet::capacity, configuration, peers,
				new QueueLimits(settings.limits().teamQueue(), settings.limits().totalQueue()), clock);
		HttpEngineClient engines = new HttpEngineClient(CONNECT_TIMEOUT, PROBE_TIMEOUT, ENGINE_CALL_TIMEOUT);
		LoadMonitor monitor = new LoadMonitor(this.fleet, engines, configuration, clock, new SplittableRandom(),
				LoadMonitorSettings.defaults());
		ReplyServices services = new ReplyServices(clock, engines, this.fleet, this.admission,
				new FractionRepairBudget(REPAIRS_PER_REPLY, MAX_SAVED_REPAIRS), ReplySettings.of(settings.limits()));
		this.completionHandler = new CompletionHandler(services, configuration, peers, settings.vm(), incarnation,
				new BodyReader(settings.limits().bodyBytes(), BODY_TIMEOUT), burnRates);
		this.executions = createExecutionStore(settings, clock, background, platform, incarnation);
		this.callHandler = createCallHandler(settings, clock, configuration, peers, directory, background.timer(),
				incarnation);
		background.scheduleRepeated(REPLY_TICK_INTERVAL, "replies", this.completionHandler::tick)
			.scheduleRepeated(LOAD_TICK_INTERVAL, "loads", monitor::tick);
		this.admission.start();
		metrics.registerGauge("replies_in_progress", "Replies in progress.", this.completionHandler::activeReplies)
			.registerGauge("requests_waiting", "Requests waiting for admission.",
					() -> this.admission.status().waiting())
			.registerGauge("peer_bytes", "Bytes exchanged with other daemons since the start.",
					peers::transferredBytes);
	}

	List<Route> routes() {
		List<Route> routes = new ArrayList<>(this.completionHandler.routes());
		routes.addAll(this.callHandler.routes());
		return routes;
	}

	void close() {
		this.admission.close();
	}

	void addStatus(ObjectNode node) {
		AdmissionStatus status = this.admission.status();
		node.put("streamLimit", status.limit());
		node.put("streamsRunning", status.running());
		node.put("requestsWaiting", status.waiting());
		node.put("isolated", status.isolated());
		node.put("repliesInProgress", this.completionHandler.activeReplies());
		node.put("plannedModels", this.fleet.chainTable().sets().size());
	}

	/**
	 * Returns the number of calls whose result is not yet in the table service.
	 * @return the number; a shutdown waits until it is 0, up to a limit
	 */
	int unrecordedResults() {
		return this.executions.unsettledKeys();
	}

	private static ExecutionStore createExecutionStore(DaemonSettings settings, Clock clock,
			BackgroundScheduler background, PlatformServices platform, long incarnation) {
		String runId = settings.vm() + "_" + incarnation;
		AtomicLong attempts = new AtomicLong();
		RecordedExecutionTracker recorded = new RecordedExecutionTracker(clock, ExecutionLimits.defaults(),
				() -> runId + "_" + attempts.getAndIncrement());
		ExecutionCleaner cleaner = new ExecutionCleaner(platform.tables(),
				new RecordExpiry(ExecutionLimits.defaults().recordLifetime()), clock);
		background.scheduleRepeated(CLEANING_INTERVAL, "execution-records", cleaner::deleteExpired);
		return new ExecutionStore(platform.tables(), recorded, runId, clock, background.timer());
	}

	private CallHandler createCallHandler(DaemonSettings settings, Clock clock, ConfigurationSource configuration,
			NettyPeerNetwork peers, VmDirectory directory, Timer timer, long incarnation) {
		SecureRandom random = new SecureRandom();
		CallDispatcher dispatcher = new CallDispatcher(new RunnerRotation(configuration, clock, directory::isLeaving),
				new HttpApplicationClient(CONNECT_TIMEOUT), createRetryAllowance(clock), clock, timer);
		IssuedKeys keys = new IssuedKeys(settings.vm(), incarnation, clock, random::nextLong, MAX_ISSUED_KEYS);
		IssuedKeyCallService issued = new IssuedKeyCallService(settings.vm(), keys, dispatcher, peers, clock);
		return new CallHandler(configuration, new BodyReader(settings.limits().bodyBytes(), BODY_TIMEOUT), dispatcher,
				this.executions, issued, settings.limits().requestTimeout(), clock);
	}

	private static RetryAllowance createRetryAllowance(Clock clock) {
		RetryBudget budget = new RetryBudget(clock);
		return new RetryAllowance() {

			@Override
			public void recordAttempt() {
				budget.recordRequest();
			}

			@Override
			public boolean tryRetry() {
				return budget.tryRetry();
			}

		};
	}

}
