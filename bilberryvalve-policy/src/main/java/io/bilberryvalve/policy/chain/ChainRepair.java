package io.bilberryvalve.policy.chain;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;

/**
 * Chooses the chain that continues a reply after a failure. Surviving stages are kept,
 * since they hold the KV cache of the stream. Each failed stage is replaced by the runner
 * that holds its layers and has the least wait and compute time. If a stage has no
 * replacement, the planned chain with the least expected time that uses none of the
 * avoided runners is chosen. The time of a repair does not grow with the number of
 * runners: it is bounded by the replacements kept for a stage and the number of chains
 * examined.
 */
public final class ChainRepair {

	/** Planned chains examined when a stage has no replacement. */
	private static final int MAX_EXAMINED = 64;

	private final ToDoubleFunction<Runner> load;

	/**
	 * Creates a chooser of repairs.
	 * @param load expected wait at a runner in seconds
	 */
	public ChainRepair(ToDoubleFunction<Runner> load) {
		this.load = load;
	}

	/**
	 * Plans the continuation of a reply.
	 * @param old chain that failed
	 * @param avoid runners that must not be used, including that of at least one failed
	 * stage
	 * @param alive avoided runners that still answer, so that their KV cache can be
	 * transferred
	 * @param set planned chains and replacements of the model
	 * @return the plan, or empty if no chain without the avoided runners was found
	 */
	public Optional<RepairPlan> repair(Chain old, Set<RunnerId> avoid, Set<RunnerId> alive, ChainSet set) {
		List<Stage> stages = new ArrayList<>();
		List<KvImport> imports = new ArrayList<>();
		for (Stage stage : old.stages()) {
			if (!avoid.contains(stage.runner().id())) {
				stages.add(stage);
				continue;
			}
			Optional<Runner> replacement = replacement(stage, old, stages, avoid, set);
			if (replacement.isEmpty()) {
				return otherChain(avoid, set);
			}
			stages.add(new Stage(replacement.get(), stage.layers()));
			if (alive.contains(stage.runner().id())) {
				imports.add(new KvImport(replacement.get(), stage.runner()));
			}
		}
		return Optional.of(new RepairPlan(new Chain(stages, old.seconds(), old.tokensPerSecond()), imports));
	}

	private Optional<Runner> replacement(Stage failed, Chain old, List<Stage> chosen, Set<RunnerId> avoid,
			ChainSet set) {
		Runner best = null;
		double bestSeconds = Double.MAX_VALUE;
		for (Candidate candidate : set.replacements(failed.layers())) {
			Runner runner = candidate.runner();
			boolean taken = avoid.contains(runner.id()) || old.uses(Set.of(runner.id()))
					|| chosen.stream().anyMatch((stage) -> stage.runner().id().equals(runner.id()));
			double seconds = this.load.applyAsDouble(runner) + failed.layers().size() / candidate.layersPerSecond();
			if (!taken && seconds < bestSeconds) {
				best = runner;
				bestSeconds = seconds;
			}
		}
		return Optional.ofNullable(best);
	}

	private Optional<RepairPlan> otherChain(Set<RunnerId> avoid, ChainSet set) {
		Chain best = null;
		double bestSeconds = Double.MAX_VALUE;
		int examined = 0;
		for (int i = 0; i < set.size() && examined < MAX_EXAMINED; i++) {
			Chain chain = set.chain(i);
			if (chain.uses(avoid)) {
				continue;
			}
			examined++;
			double seconds = chain.seconds() + wait(chain);
			if (seconds < bestSeconds) {
				best = chain;
				bestSeconds = seconds;
			}
		}
		return Optional.ofNullable(best).map((chain) -> new RepairPlan(chain, List.of()));
	}

	private double wait(Chain chain) {
		double seconds = 0;
		for (Stage stage : chain.stages()) {
			seconds += this.load.applyAsDouble(stage.runner());
		}
		return seconds;
	}

}
