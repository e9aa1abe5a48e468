package io.bilberryvalve.policy.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Plans chains by dynamic programming over layer boundaries, which are the first and end
 * layers of the runners. The cost of a stage is its queue and compute time; the cost
 * between two stages is the time to transfer one activation over the link.
 * <p>
 * The dynamic program may return a path that uses a runner twice, which is not allowed in
 * a chain. Then the search branches (branch and bound): the runner may start a stage
 * either only below the layer at which its second stage starts, or only from that layer
 * on. The cheapest open branch is always examined first, so that the first path without a
 * repeated runner is the cheapest chain. The search gives up after a bounded number of
 * branches.
 * <p>
 * A plan first contains chains that share no runner, and then chains that use the
 * remaining capacity, so that the sum of their rates comes close to the
 * {@link CapacityBound}.
 */
public final class BoundaryChainPlanner implements ChainPlanner {

	/** Largest number of branches examined in the search for one chain. */
	private static final int MAX_BRANCHES = 256;

	/** Largest number of chains in a plan; each chain exhausts at least one runner. */
	private static final int MAX_CHAINS = 512;

	/** Remaining fraction of the capacity at which a runner counts as exhausted. */
	private static final double EXHAUSTED_FRACTION = 1e-6;

	@Override
	public Optional<Chain> best(ModelShape model, Collection<Candidate> candidates, LinkTable links) {
		List<Candidate> list = List.copyOf(candidates);
		BoundarySearch search = new BoundarySearch(model, list, links);
		PriorityQueue<Branch> open = new PriorityQueue<>(Comparator.comparingDouble((b) -> b.path().seconds()));
		add(open, search, starts(model, list));
		for (int i = 0; i < MAX_BRANCHES && !open.isEmpty(); i++) {
			Branch branch = open.remove();
			BoundarySearch.@Nullable Hop repeated = firstRepeatedRunner(branch.path());
			if (repeated == null) {
				return Optional.of(chain(list, branch.path()));
			}
			add(open, search, restrict(branch.starts(), repeated, true));
			add(open, search, restrict(branch.starts(), repeated, false));
		}
		return Optional.empty();
	}

	@Override
	public List<Chain> plan(ModelShape model, Collection<Candidate> candidates, LinkTable links) {
		RemainingCapacity capacity = new RemainingCapacity(candidates);
		List<Chain> chains = new ArrayList<>();
		Set<RunnerId> used = new HashSet<>();
		while (chains.size() < MAX_CHAINS) {
			Optional<Chain> next = best(model, capacity.candidatesWithCapacity(used), links);
			if (next.isEmpty()) {
				break;
			}
			next.get().stages().forEach((stage) -> used.add(stage.runner().id()));
			chains.add(capacity.take(next.get()));
		}
		while (chains.size() < MAX_CHAINS) {
			Optional<Chain> next = best(model, capacity.candidatesWithCapacity(Set.of()), links);
			if (next.isEmpty()) {
				break;
			}
			chains.add(capacity.take(next.get()));
		}
		return chains;
	}

	private static void add(PriorityQueue<Branch> open, BoundarySearch search, LayerRange @Nullable [] starts) {
		BoundarySearch.Path path = (starts != null) ? search.search(starts) : null;
		if (starts != null && path != null) {
			open.add(new Branch(starts, path));
		}
	}

	private static LayerRange[] starts(ModelShape model, List<Candidate> candidates) {
		LayerRange[] starts = new LayerRange[candidates.size()];
		Arrays.fill(starts, new LayerRange(0, model.layers()));
		return starts;
	}

	private static LayerRange @Nullable [] restrict(LayerRange[] starts, BoundarySearch.Hop hop, boolean before) {
		LayerRange old = starts[hop.candidate()];
		int split = hop.layers().first();
		int first = before ? old.first() : split;
		int end = before ? split : old.end();
		if (end <= first) {
			return null;
		}
		LayerRange[] copy = starts.clone();
		copy[hop.candidate()] = new LayerRange(first, end);
		return copy;
	}

	// Returns the second stage of the first runner that a path uses twice, or null if it
	// uses each once.
	private static BoundarySearch.@Nullable Hop firstRepeatedRunner(BoundarySearch.Path path) {
		Set<Integer> seen = new HashSet<>();
		for (BoundarySearch.Hop hop : path.hops()) {
			if (!seen.add(hop.candidate())) {
				return hop;
			}
		}
		return null;
	}

	private static Chain chain(List<Candidate> candidates, BoundarySearch.Path path) {
		List<Stage> stages = new ArrayList<>();
		double rate = Double.MAX_VALUE;
		for (BoundarySearch.Hop hop : path.hops()) {
			Candidate candidate = candidates.get(hop.candidate());
			stages.add(new Stage(candidate.runner(), hop.layers()));
			rate = Math.min(rate, candidate.layersPerSecond() / hop.layers().size());
		}
		return new Chain(stages, path.seconds(), rate);
	}

	private record Branch(LayerRange[] starts, BoundarySearch.Path path) {

	}

	/** Capacity of the runners that no chain uses yet, in layers per second. */
	private static final class RemainingCapacity {

		private final Map<RunnerId, Double> layersPerSecond = new HashMap<>();

		private final Collection<Candidate> candidates;

		RemainingCapacity(Collection<Candidate> candidates) {
			this.candidates = candidates;
			candidates.forEach((c) -> this.layersPerSecond.put(c.runner().id(), c.layersPerSecond()));
		}

		List<Candidate> candidatesWithCapacity(Set<RunnerId> without) {
			return this.candidates.stream()
				.filter((c) -> !without.contains(c.runner().id()))
				.filter((c) -> this.layersPerSecond.getOrDefault(c.runner().id(), 0.0) > EXHAUSTED_FRACTION
						* c.layersPerSecond())
				.toList();
		}

		Chain take(Chain chain) {
			double rate = Double.MAX_VALUE;
			for (Stage stage : chain.stages()) {
				rate = Math.min(rate,
						this.layersPerSecond.getOrDefault(stage.runner().id(), 0.0) / stage.layers().size());
			}
			double taken = rate;
			for (Stage stage : chain.stages()) {
				this.layersPerSecond.merge(stage.runner().id(), -taken * stage.layers().size(), Double::sum);
			}
			return new Chain(chain.stages(), chain.seconds(), taken);
		}

	}

}
