package io.bilberryvalve.policy.path;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.placement.EngineProfile;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the path with the shortest expected time for the whole answer, among the paths
 * whose runners all have memory for the request. The layer ranges of runners may overlap;
 * a path then uses a runner for some of its layers only. The choice avoids a single fast
 * chain that fills up while slower cards are idle, and that breaks all streams when it
 * loses a card. Each hop goes where memory is free, and a path leaves a data centre only
 * if the runners there cannot serve the request.
 */
public final class PathChooser {

	/**
	 * Fraction of the memory for tokens that may be reserved. Reservations include the
	 * whole answer from the start, so the memory in use stays well below.
	 */
	private static final double MEMORY_FRACTION = 1.0;

	/**
	 * Longest time that a runner may need to prefill the prompts already sent to it; with
	 * more, it gets no further requests.
	 */
	private static final double MAX_BACKLOG_MILLIS = 250;

	/**
	 * Fraction of the requests of a runner that it processes in one batch; the others are
	 * at other runners of their paths.
	 */
	private static final double BATCH_FRACTION = 0.15;

	/**
	 * Typical time that a request spends at the runners; its transfers are spread over
	 * it.
	 */
	private static final double TYPICAL_RESIDENCE_MILLIS = 3000;

	/**
	 * Above this utilization of a link, tokens wait for the prompts of other requests at
	 * each decode step.
	 */
	private static final double MAX_LINK_UTILIZATION = 0.6;

	/**
	 * Added to the cost of a path for each link between data centres. It exceeds the
	 * difference between the paths of two data centres, so that links stay free for data
	 * centres that have lost layers.
	 */
	private static final double LINK_PENALTY_MILLIS = 8000;

	/**
	 * Added to the cost of a path whose runners are all full, and in proportion when they
	 * are less full. It is a few times the difference between the copies of a model, so
	 * that the copies fill up evenly and the loss of a card breaks as few streams as
	 * possible.
	 */
	private static final double LOAD_PENALTY_MILLIS = 4000;

	private final EngineProfile profile;

	/**
	 * Creates a chooser.
	 * @param profile performance of the engines of the model
	 */
	public PathChooser(EngineProfile profile) {
		this.profile = profile;
	}

	/**
	 * Chooses a path. Nothing is reserved.
	 * @param holders runners that hold layers of the model
	 * @param loadSource present load of runners and links
	 * @param size size of the request
	 * @param allowed accepts the runners that may be used
	 * @return the path, or empty if no path has memory for the request
	 */
	public Optional<LayerPath> choose(List<LayerHolder> holders, LoadSource loadSource, RequestSize size,
			Predicate<RunnerId> allowed) {
		List<LayerHolder> usable = holders.stream().filter((holder) -> allowed.test(holder.runner())).toList();
		Optional<LayerPath> path = new Search(usable, loadSource, size, false).run();
		if (path.isPresent() && repeatsRunner(path.get())) {
			return new Search(usable, loadSource, size, true).run();
		}
		return path;
	}

	// A path must not return to a runner. If the cheapest path does, the search is
	// repeated with hops that always run to the end of the range of a runner, which
	// excludes that.
	private static boolean repeatsRunner(LayerPath path) {
		Set<RunnerId> seen = new HashSet<>();
		return !path.hops().stream().allMatch((hop) -> seen.add(hop.runner()));
	}

	private LayerPath path(PartialPath end) {
		List<LayerPath.Hop> hops = new ArrayList<>();
		int tokensPerEvent = Math.max(1, this.profile.tokensPerEvent());
		double first = 0;
		double token = 0;
		double event = 0;
		for (PartialPath partial = end; partial != null; partial = partial.previous) {
			LayerRange layers = new LayerRange(partial.first, partial.end);
			double profileMillis = tokensPerEvent * partial.stepMillis() / partial.candidate.holder.slowdown();
			hops.add(new LayerPath.Hop(partial.candidate.holder.runner(), layers, profileMillis));
			double each = partial.stepMillis() + partial.transfer.tokenMillis;
			first += partial.prefillMillis() + partial.transfer.prefillTokenMillis + each;
			token += each;
			event += profileMillis + tokensPerEvent * partial.transfer.tokenMillis;
		}
		Collections.reverse(hops);
		return new LayerPath(hops, first, token, event);
	}

	/**
	 * One search. It keeps the cheapest partial path for each layer and each data centre
	 * of the last runner.
	 */
	private final class Search {

		private final List<Candidate> candidates;

		private final LoadSource loadSource;

		private final RequestSize size;

		private final boolean wholeRanges;

		private final List<DataCentreId> dataCentres;

		private final boolean[] boundary;

		private final @Nullable PartialPath[][] best;

		/** Transfers between data centres, {@code null} where the link is overloaded. */
		private final @Nullable Transfer[][] transfers;

		Search(List<LayerHolder> usable, LoadSource loadSource, RequestSize size, boolean wholeRanges) {
			this.loadSource = loadSource;
			this.size = size;
			this.wholeRanges = wholeRanges;
			int layers = PathChooser.this.profile.layers();
			this.dataCentres = usable.stream().map(LayerHolder::dataCentre).distinct().sorted().toList();
			this.candidates = usable.stream()
				.filter((holder) -> holder.layers().end() <= layers)
				.map((holder) -> new Candidate(holder, this.dataCentres.indexOf(holder.dataCentre()), loadSource, size,
						PathChooser.this.profile))
				.filter((candidate) -> candidate.maxLayers > 0)
				.toList();
			this.transfers = transfers();
			this.boundary = new boolean[layers + 1];
			this.boundary[layers] = true;
			this.candidates.forEach((candidate) -> this.boundary[candidate.holder.layers().first()] = true);
			this.best = new PartialPath[layers + 1][this.dataCentres.size()];
		}

		Optional<LayerPath> run() {
			int layers = PathChooser.this.profile.layers();
			for (int layer = 0; layer < layers; layer++) {
				if (layer > 0 && !isReached(layer)) {
					continue;
				}
				for (Candidate candidate : this.candidates) {
					LayerRange range = candidate.holder.layers();
					if (range.first() <= layer && layer < range.end()) {
						extend(candidate, layer);
					}
				}
			}
			PartialPath end = null;
			for (PartialPath partial : this.best[layers]) {
				if (partial != null && (end == null || partial.cost < end.cost)) {
					end = partial;
				}
			}
			return (end != null) ? Optional.of(path(end)) : Optional.empty();
		}

		// Most layers are no boundary of any range, so that no partial path ends there.
		private boolean isReached(int layer) {
			for (PartialPath partial : this.best[layer]) {
				if (partial != null) {
					return true;
				}
			}
			return false;
		}

		private void extend(Candidate candidate, int layer) {
			PartialPath from = (layer > 0) ? cheapest(candidate, layer) : null;
			boolean full = layer == 0 && candidate.load.firstHops() >= PathChooser.this.profile.slots();
			if (full || (layer > 0 && from == null)) {
				return;
			}
			int end = candidate.holder.layers().end();
			int most = Math.min(end, layer + candidate.maxLayers);
			Transfer transfer = (from != null) ? transfer(from.candidate, candidate) : Transfer.NONE;
			double startCost = ((from != null) ? from.cost : 0) + ((transfer != null) ? transfer.cost(this.size) : 0);
			for (int next = layer + 1; next <= most; next++) {
				if (next == end || (this.boundary[next] && !this.wholeRanges)) {
					double cost = startCost + candidate.cost(next - layer, this.size);
					PartialPath known = this.best[next][candidate.dataCentreIndex];
					if (transfer != null && (known == null || cost < known.cost)) {
						this.best[next][candidate.dataCentreIndex] = new PartialPath(candidate, layer, next, from,
								transfer, cost);
					}
				}
			}
		}

		private @Nullable PartialPath cheapest(Candidate candidate, int layer) {
			PartialPath result = null;
			double cost = Double.MAX_VALUE;
			for (PartialPath partial : this.best[layer]) {
				Transfer transfer = (partial != null && partial.candidate != candidate)
						? transfer(partial.candidate, candidate) : null;
				if (partial != null && transfer != null && partial.cost + transfer.cost(this.size) < cost) {
					cost = partial.cost + transfer.cost(this.size);
					result = partial;
				}
			}
			return result;
		}

		private @Nullable Transfer transfer(Candidate before, Candidate candidate) {
			return this.transfers[before.dataCentreIndex][candidate.dataCentreIndex];
		}

		private @Nullable Transfer[][] transfers() {
			int count = this.dataCentres.size();
			Transfer[][] result = new Transfer[count][count];
			for (int from = 0; from < count; from++) {
				for (int to = 0; to < count; to++) {
					result[from][to] = transfer(this.dataCentres.get(from), this.dataCentres.get(to));
				}
			}
			return result;
		}

		// Returns the transfer between two data centres, or null if the link is
		// overloaded.
		private @Nullable Transfer transfer(DataCentreId from, DataCentreId to) {
			EngineProfile engine = PathChooser.this.profile;
			double delay = engine.delayMillis(from, to);
			double token = engine.linkTransferMillis(1);
			if (from.equals(to) || token == 0) {
				return new Transfer(delay, 0, 0);
			}
			int running = this.loadSource.of(LoadSource.linkId(from, to)).running();
			double typicalTokens = engine.promptTokens() + engine.answerTokens();
			double utilization = (running + 1) * typicalTokens * token / TYPICAL_RESIDENCE_MILLIS;
			if (utilization > MAX_LINK_UTILIZATION) {
				return null;
			}
			double wait = engine.promptTokens() * token * utilization / (2 * (1 - utilization));
			return new Transfer(delay + token + wait, token, LINK_PENALTY_MILLIS);
		}

	}

	/** A runner with its expected times for one layer. */
	private static final class Candidate {

		private final LayerHolder holder;

		private final int dataCentreIndex;

		private final RunnerLoad load;

		private final double stepMillis;

		private final double prefillMillis;

		private final double penaltyMillis;

		private final int maxLayers;

		Candidate(LayerHolder holder, int dataCentreIndex, LoadSource loadSource, RequestSize size,
				EngineProfile profile) {
			this.holder = holder;
			this.dataCentreIndex = dataCentreIndex;
			this.load = loadSource.of(holder.runner());
			int held = holder.layers().size();
			double batch = (this.load.running() + 1) * BATCH_FRACTION;
			double context = (this.load.tokenLayers() / (double) held + size.totalTokens()) * BATCH_FRACTION;
			this.stepMillis = holder.slowdown() * profile.stepMillis(holder.card(), 1, batch, context);
			double tokenPrefillMillis = profile.prefillMillis(holder.card(), 1, 1);
			// The limit of the backlog ignores the slowdown, so that an estimate changes
			// the order of the paths only and refuses nothing.
			double backlogMillis = tokenPrefillMillis * this.load.prefillTokenLayers();
			this.prefillMillis = holder.slowdown() * tokenPrefillMillis * size.promptTokens();
			double capacity = profile.tokenCapacity(holder.card(), held) * MEMORY_FRACTION * held;
			double free = capacity - this.load.tokenLayers();
			double use = (capacity > 0) ? this.load.tokenLayers() / capacity : 1;
			this.penaltyMillis = LOAD_PENALTY_MILLIS * use / profile.layers();
			this.maxLayers = (backlogMillis > MAX_BACKLOG_MILLIS) ? 0
					: (int) Math.min(held, free / Math.max(1, size.totalTokens()));
		}

		// Returns the expected time of a request in some layers, with the penalty for the
		// load.
		double cost(int layers, RequestSize size) {
			return this.prefillMillis * layers + size.answerTokens() * this.stepMillis * layers
					+ this.penaltyMillis * layers;
		}

	}

	/** The last hop of the cheapest partial path that ends at a layer. */
	private static final class PartialPath {

		private final Candidate candidate;

		private final int first;

		private final int end;

		private final @Nullable PartialPath previous;

		private final Transfer transfer;

		private final double cost;

		PartialPath(Candidate candidate, int first, int end, @Nullable PartialPath previous, Transfer transfer,
				double cost) {
			this.candidate = candidate;
			this.first = first;
			this.end = end;
			this.previous = previous;
			this.transfer = transfer;
			this.cost = cost;
		}

		double stepMillis() {
			return this.candidate.stepMillis * (this.end - this.first);
		}

		double prefillMillis() {
			return this.candidate.prefillMillis * (this.end - this.first);
		}

	}

	/**
	 * Transfer between two runners.
	 *
	 * @param tokenMillis time for each token of the answer
	 * @param prefillTokenMillis time for each token of the prompt
	 * @param penaltyMillis additional cost, so that paths without this transfer are
	 * preferred
	 */
	private record Transfer(double tokenMillis, double prefillTokenMillis, double penaltyMillis) {

		private static final Transfer NONE = new Transfer(0, 0, 0);

		double cost(RequestSize size) {
			return this.penaltyMillis + size.promptTokens() * this.prefillTokenMillis
					+ size.answerTokens() * this.tokenMillis;
		}

	}

}
