package io.bilberryvalve.daemon.runner;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.chain.BalancedChainPlanner;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.ChainRepair;
import io.bilberryvalve.policy.chain.ChainSet;
import io.bilberryvalve.policy.chain.ChainTable;
import io.bilberryvalve.policy.chain.PlanKey;
import io.bilberryvalve.policy.chain.RepairPlan;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.choice.LoadReport;
import io.bilberryvalve.policy.choice.PrefixHash;
import io.bilberryvalve.policy.choice.PrefixIndex;
import io.bilberryvalve.policy.choice.RunnerChooser;
import io.bilberryvalve.policy.choice.RunnerHealth;
import io.bilberryvalve.policy.choice.RunnerLoadEstimator;
import io.bilberryvalve.policy.share.Capacity;

/**
 * State of the runners of the federation as this entry sees them: their load, health and
 * cached prefixes, and the chains planned for them. Requests read the plan through one
 * atomic reference; {@link #replan()} replaces it in the background.
 */
public final class RunnerFleet implements ChainRouter {

	private static final Logger LOGGER = System.getLogger(RunnerFleet.class.getName());

	private static final Duration PREFIX_VALIDITY = Duration.ofMinutes(5);

	/** Maximum number of entries in the prefix index; each takes about 200 bytes. */
	private static final int MAX_PREFIX_ENTRIES = 20_000;

	/**
	 * Maximum fraction of the capacity that may be taken out of use because of failures.
	 */
	private static final double MAX_REMOVED_CAPACITY = 0.4;

	private final Clock clock;

	private final ConfigurationSource configuration;

	private final RunnerChooser chooser;

	private final LeavingRunners leavingRunners;

	private final RunnerLoadEstimator loadEstimator;

	private final RunnerHealth health = new RunnerHealth(MAX_REMOVED_CAPACITY);

	private final PrefixIndex prefixes;

	private final ChainTablePlanner planner;

	private final ChainRepair repair = new ChainRepair((runner) -> waitSeconds(runner.id()));

	private final AtomicReference<Plan> plan = new AtomicReference<>(
			new Plan(ChainTable.empty(), new RunnerSpeeds(FederationPart.empty()), FederationConfiguration.empty()));

	private final AtomicBoolean planOutdated = new AtomicBoolean(true);

	/**
	 * Creates the fleet.
	 * @param clock clock for the age of loads and cached prefixes
	 * @param configuration source of the configuration in force
	 * @param chooser decides which chain receives a request
	 * @param leavingRunners tells which runners are leaving according to sources other
	 * than their own load reports
	 */
	public RunnerFleet(Clock clock, ConfigurationSource configuration, RunnerChooser chooser,
			LeavingRunners leavingRunners) {
		this.clock = clock;
		this.configuration = configuration;
		this.chooser = chooser;
		this.leavingRunners = leavingRunners;
		this.loadEstimator = new RunnerLoadEstimator(clock);
		this.prefixes = new PrefixIndex(clock, PREFIX_VALIDITY, MAX_PREFIX_ENTRIES);
		this.planner = new ChainTablePlanner(new BalancedChainPlanner(), this.health, this::isLeaving);
	}

	@Override
	public Optional<Chain> choose(PlanKey key, String prompt) {
		Plan now = this.plan.get();
		ChainSet set = now.table().chains(key);
		if (set.size() == 0) {
			return Optional.empty();
		}
		List<String> hashes = PrefixHash.of(key.model().model().value(), key.model().version(), key.adapter(), prompt);
		int chosen = this.chooser.choose(new ChainCandidates(this, set, now.speeds(), hashes),
				ThreadLocalRandom.current());
		return (chosen != RunnerChooser.NONE) ? Optional.of(set.chain(chosen)) : Optional.empty();
	}

	@Override
	public Optional<RepairPlan> repair(PlanKey key, Chain old, Set<RunnerId> avoid, Set<RunnerId> alive) {
		return this.repair.repair(old, avoid, alive, this.plan.get().table().chains(key));
	}

	@Override
	public WorkTracker startWork(Chain chain, int promptTokens) {
		return new ChainWorkTracker(this, chain, promptTokens, this.plan.get().speeds());
	}

	@Override
	public void recordFailure(RunnerId runner) {
		this.health.recordFailure(runner);
		this.planOutdated.set(true);
	}

	/**
	 * Records that a runner answered a load poll.
	 * @param report load report of the runner
	 */
	public void recordLoad(LoadReport report) {
		boolean before = this.loadEstimator.leaving(report.runner());
		this.loadEstimator.report(report, this.plan.get().speeds().prefillWeight(report.runner()));
		this.health.recordSuccess(report.runner());
		if (before != this.loadEstimator.leaving(report.runner())) {
			this.planOutdated.set(true);
		}
	}

	/**
	 * Records a change to the prefix cache of a runner.
	 * @param runner the runner
	 * @param prefix hash of the prefix
	 * @param stored {@code true} if the prefix was stored, {@code false} if it was
	 * evicted
	 */
	public void recordCacheEvent(RunnerId runner, String prefix, boolean stored) {
		if (stored) {
			this.prefixes.recordStored(runner, prefix);
		}
		else {
			this.prefixes.recordRemoved(runner, prefix);
		}
	}

	/**
	 * Plans the chains again if the configuration in force, the leaving runners or the
	 * failures have changed since the last plan.
	 */
	public void replanIfChanged() {
		if (this.plan.get().configuration() != this.configuration.current() || this.planOutdated.get()) {
			replan();
		}
	}

	/**
	 * Plans all chains from the configuration in force, the health of the runners and
	 * which of them are leaving.
	 */
	public synchronized void replan() {
		this.planOutdated.set(false);
		FederationConfiguration current = this.configuration.current();
		RunnerSpeeds speeds = new RunnerSpeeds(current.federation());
		long version = this.plan.get().table().version() + 1;
		ChainTable table = this.planner.plan(version, current, speeds);
		this.plan.set(new Plan(table, speeds, current));
		LogEvent.of("chains-planned")
			.with("plan", version)
			.with("configuration", current.version())
			.with("models", table.sets().size())
			.with("chains", table.sets().values().stream().mapToInt(ChainSet::size).sum())
			.log(LOGGER, Level.DEBUG);
	}

	/**
	 * Returns the planned chains.
	 * @return chains of each model and adapter, as of the last plan
	 */
	public ChainTable chainTable() {
		return this.plan.get().table();
	}

	/**
	 * Returns the capacity of the planned chains.
	 * @return number of streams and tokens per second of all models together
	 */
	public Capacity capacity() {
		return PlannedCapacity.of(chainTable());
	}

	RunnerLoadEstimator loadEstimator() {
		return this.loadEstimator;
	}

	RunnerHealth health() {
		return this.health;
	}

	PrefixIndex prefixes() {
		return this.prefixes;
	}

	Instant now() {
		return this.clock.instant();
	}

	boolean isLeaving(RunnerId runner) {
		return this.loadEstimator.leaving(runner) || this.leavingRunners.isLeaving(runner);
	}

	private double waitSeconds(RunnerId runner) {
		return this.loadEstimator.estimatedPositions(runner) / this.plan.get().speeds().decodeLayersPerSecond(runner);
	}

	void recordSuccess(Chain chain) {
		for (Stage stage : chain.stages()) {
			this.health.recordSuccess(stage.runner().id());
		}
	}

	/**
	 * Tells which runners are leaving according to sources other than their own load
	 * reports, such as the VM list or other entries.
	 */
	@FunctionalInterface
	public interface LeavingRunners {

		/**
		 * Tells whether a runner is leaving. Must not block.
		 * @param runner the runner
		 * @return whether it accepts no new work
		 */
		boolean isLeaving(RunnerId runner);

	}

	private record Plan(ChainTable table, RunnerSpeeds speeds, FederationConfiguration configuration) {

	}

}
