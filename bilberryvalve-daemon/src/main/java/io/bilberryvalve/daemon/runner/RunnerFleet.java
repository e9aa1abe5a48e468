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
 * The runners of the federation as this entry sees them: loads, health, cached prefixes
 * and the planned chains. Requests read the plan through one atomic reference;
 * {@link #replan()} replaces it in the background.
 */
public final class RunnerFleet implements ChainSource {

	private static final Logger LOGGER = System.getLogger(RunnerFleet.class.getName());

	private static final Duration PREFIX_VALIDITY = Duration.ofMinutes(5);

	/** Entries of the prefix index; each takes about 200 bytes. */
	private static final int PREFIX_CAPACITY = 20_000;

	/** Part of the capacity that may be out of use because of failures. */
	private static final double SPARE = 0.4;

	private final Clock clock;

	private final ConfigurationSource configuration;

	private final RunnerChooser chooser;

	private final LeavingRunners absent;

	private final RunnerLoadEstimator loads;

	private final RunnerHealth health = new RunnerHealth(SPARE);

	private final PrefixIndex prefixes;

	private final ChainPlanning planning;

	private final ChainRepair repair = new ChainRepair((runner) -> waitSeconds(runner.id()));

	private final AtomicReference<Plan> plan = new AtomicReference<>(
			new Plan(ChainTable.empty(), new RunnerSpeeds(FederationPart.empty()), FederationConfiguration.empty()));

	private final AtomicBoolean changed = new AtomicBoolean(true);

	/**
	 * Creates the fleet.
	 * @param clock the clock
	 * @param configuration the configuration in force
	 * @param chooser decides which chain receives a request
	 * @param absent runners known to be leaving from other sources than their reports
	 */
	public RunnerFleet(Clock clock, ConfigurationSource configuration, RunnerChooser chooser, LeavingRunners absent) {
		this.clock = clock;
		this.configuration = configuration;
		this.chooser = chooser;
		this.absent = absent;
		this.loads = new RunnerLoadEstimator(clock);
		this.prefixes = new PrefixIndex(clock, PREFIX_VALIDITY, PREFIX_CAPACITY);
		this.planning = new ChainPlanning(new BalancedChainPlanner(), this.health, this::leaving);
	}

	@Override
	public Optional<Chain> choose(PlanKey key, String prompt) {
		Plan now = this.plan.get();
		ChainSet set = now.table().chains(key);
		if (set.size() == 0) {
			return Optional.empty();
		}
		List<String> hashes = PrefixHash.of(key.model().model().value(), key.model().version(), key.adapter(), prompt);
		int chosen = this.chooser.choose(new ChainChoice(this, set, now.speeds(), hashes), ThreadLocalRandom.current());
		return (chosen != RunnerChooser.NONE) ? Optional.of(set.chain(chosen)) : Optional.empty();
	}

	@Override
	public Optional<RepairPlan> repair(PlanKey key, Chain old, Set<RunnerId> avoid, Set<RunnerId> alive) {
		return this.repair.repair(old, avoid, alive, this.plan.get().table().chains(key));
	}

	@Override
	public Work dispatched(Chain chain, int promptTokens) {
		return new ChainWork(this, chain, promptTokens, this.plan.get().speeds());
	}

	@Override
	public void failed(RunnerId runner) {
		this.health.recordFailure(runner);
		this.changed.set(true);
	}

	/**
	 * Notes that a runner answered a probe.
	 * @param report its load
	 */
	public void reported(LoadReport report) {
		boolean before = this.loads.leaving(report.runner());
		this.loads.report(report, this.plan.get().speeds().prefillWeight(report.runner()));
		this.health.recordSuccess(report.runner());
		if (before != this.loads.leaving(report.runner())) {
			this.changed.set(true);
		}
	}

	/**
	 * Notes a change of a runner's prefix cache.
	 * @param runner the runner
	 * @param prefix hash of the prefix
	 * @param stored whether it was stored; otherwise it was removed
	 */
	public void cached(RunnerId runner, String prefix, boolean stored) {
		if (stored) {
			this.prefixes.recordStored(runner, prefix);
		}
		else {
			this.prefixes.recordRemoved(runner, prefix);
		}
	}

	/**
	 * Plans again if the configuration in force has changed.
	 */
	public void refresh() {
		if (this.plan.get().configuration() != this.configuration.current() || this.changed.get()) {
			replan();
		}
	}

	/**
	 * Plans all chains from the configuration in force and the present loads.
	 */
	public synchronized void replan() {
		this.changed.set(false);
		FederationConfiguration current = this.configuration.current();
		RunnerSpeeds speeds = new RunnerSpeeds(current.federation());
		long version = this.plan.get().table().version() + 1;
		ChainTable table = this.planning.plan(version, current, speeds);
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
	 * @return the chains
	 */
	public ChainTable table() {
		return this.plan.get().table();
	}

	/**
	 * Returns what the planned chains can take.
	 * @return the capacity
	 */
	public Capacity capacity() {
		return PlannedCapacity.of(table());
	}

	RunnerLoadEstimator loads() {
		return this.loads;
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

	boolean leaving(RunnerId runner) {
		return this.loads.leaving(runner) || this.absent.leaving(runner);
	}

	private double waitSeconds(RunnerId runner) {
		return this.loads.estimatedPositions(runner) / this.plan.get().speeds().decode(runner);
	}

	void succeeded(Chain chain) {
		for (Stage stage : chain.stages()) {
			this.health.recordSuccess(stage.runner().id());
		}
	}

	/**
	 * Tells which runners are leaving according to the VM list or other entries.
	 */
	@FunctionalInterface
	public interface LeavingRunners {

		/**
		 * Tells whether a runner is leaving. Must not block.
		 * @param runner the runner
		 * @return whether it accepts no new work
		 */
		boolean leaving(RunnerId runner);

	}

	private record Plan(ChainTable table, RunnerSpeeds speeds, FederationConfiguration configuration) {

	}

}
