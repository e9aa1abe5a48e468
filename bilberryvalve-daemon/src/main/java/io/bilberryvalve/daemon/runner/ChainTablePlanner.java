package io.bilberryvalve.daemon.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart.ModelSpec;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Candidate;
import io.bilberryvalve.policy.chain.ChainPlanner;
import io.bilberryvalve.policy.chain.ChainSet;
import io.bilberryvalve.policy.chain.ChainTable;
import io.bilberryvalve.policy.chain.LinkTable;
import io.bilberryvalve.policy.chain.ModelShape;
import io.bilberryvalve.policy.chain.PlanKey;
import io.bilberryvalve.policy.choice.RunnerHealth;

/**
 * Plans the chains of all models that pipelines use, and reuses the chains of models
 * whose inputs have not changed. It runs in the background, not while a request waits.
 * Not thread-safe.
 */
final class ChainTablePlanner {

	/**
	 * Minimum health weight of the runners in a plan. Runners below it are used only if
	 * the others do not cover the model.
	 */
	private static final double MIN_USABLE_WEIGHT = 0.2;

	private final ChainPlanner planner;

	private final RunnerHealth health;

	private final Predicate<RunnerId> leaving;

	private Map<PlanInputs, ChainSet> previousSets = new HashMap<>();

	private Map<PlanInputs, ChainSet> nextSets = new HashMap<>();

	ChainTablePlanner(ChainPlanner planner, RunnerHealth health, Predicate<RunnerId> leaving) {
		this.planner = planner;
		this.health = health;
		this.leaving = leaving;
	}

	/**
	 * Plans all chains.
	 * @param version version number of the new table
	 * @param configuration the configuration in force
	 * @param speeds speeds of the runners of that configuration
	 * @return chains of each model and adapter that a pipeline uses
	 */
	ChainTable plan(long version, FederationConfiguration configuration, RunnerSpeeds speeds) {
		List<Link> links = configuration.federation().links();
		Map<ModelVersion, ModelSpec> models = new HashMap<>();
		configuration.federation().models().forEach((spec) -> models.put(spec.model(), spec));
		Map<PlanKey, ChainSet> sets = new HashMap<>();
		for (PlanKey key : keys(configuration)) {
			ModelSpec spec = models.get(key.model());
			if (spec != null) {
				ModelShape shape = new ModelShape(key.model(), spec.layers(), spec.activationBytes());
				sets.put(key, plan(shape, key, configuration.federation().runners(), links, speeds));
			}
		}
		this.previousSets = this.nextSets;
		this.nextSets = new HashMap<>();
		return new ChainTable(version, sets);
	}

	private ChainSet plan(ModelShape shape, PlanKey key, List<Runner> runners, List<Link> links, RunnerSpeeds speeds) {
		List<Runner> present = runners.stream()
			.filter(key::matches)
			.filter((runner) -> runner.layers().end() <= shape.layers())
			.filter((runner) -> !this.leaving.test(runner.id()))
			.toList();
		this.health.limitRemovedCapacity(present.stream().map(Runner::id).toList(), speeds::decodeLayersPerSecond);
		ChainSet healthy = plan(new PlanInputs(shape, candidates(present, MIN_USABLE_WEIGHT, speeds), links));
		return (healthy.size() > 0) ? healthy : plan(new PlanInputs(shape, candidates(present, 0, speeds), links));
	}

	// A plan takes about 0.1 s of CPU time, and the inputs of most calls are unchanged,
	// so the chains of the previous table are reused.
	private ChainSet plan(PlanInputs inputs) {
		ChainSet known = this.previousSets.get(inputs);
		ChainSet set = (known != null) ? known : new ChainSet(
				this.planner.plan(inputs.shape, inputs.candidates, new LinkTable(inputs.links)), inputs.candidates);
		this.nextSets.put(inputs, set);
		return set;
	}

	private List<Candidate> candidates(List<Runner> runners, double leastWeight, RunnerSpeeds speeds) {
		List<Candidate> candidates = new ArrayList<>();
		for (Runner runner : runners) {
			if (this.health.weight(runner.id()) >= leastWeight) {
				// The queue time is 0: a plan only divides the capacity, and the choice
				// for each request takes the queues into account.
				candidates.add(new Candidate(runner, speeds.decodeLayersPerSecond(runner.id()), 0));
			}
		}
		return candidates;
	}

	private static Set<PlanKey> keys(FederationConfiguration configuration) {
		Set<PlanKey> keys = new HashSet<>();
		for (ClubPart club : configuration.clubs().values()) {
			for (ClubPart.Pipeline pipeline : club.pipelines()) {
				keys.add(new PlanKey(pipeline.model(), pipeline.adapter()));
			}
		}
		return keys;
	}

	/**
	 * Everything that the plan of a model depends on. Equal inputs give the same plan.
	 *
	 * @param shape size of the model
	 * @param candidates runners that the plan may use
	 * @param links links between data centres
	 */
	private record PlanInputs(ModelShape shape, List<Candidate> candidates, List<Link> links) {

	}

}
