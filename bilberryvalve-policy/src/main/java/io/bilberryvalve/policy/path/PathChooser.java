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
 * Chooses the path with the least expected time of a whole answer, among paths whose
 * runners all have memory for the request. Ranges of runners may overlap; a path then
 * passes a runner in a part of its layers only. Answers the load pattern of one fast
 * chain that fills up while slower cards idle, and breaks all streams when it loses a
 * card: requests go where memory is free, part by part, and leave a data centre only
 * where its own runners cannot serve them.
 */
public final class PathChooser {

	/**
	 * Part of the memory that may be reserved. Reservations count whole answers from the
	 * start, so the memory in use stays well below.
	 */
	private static final double MEMORY_PART = 1.0;

	/** Unread prompt tokens in milliseconds of reading that a runner may have. */
	private static final double MAX_BACKLOG_MILLIS = 250;

	/**
	 * Part of the requests on a path that meet in one pass of a runner; the others are
	 * elsewhere.
	 */
	private static final double SHARE_OF_PASS = 0.15;

	/** Typical time of a request at the runners, over which its transfers spread. */
	private static final double USUAL_RESIDENCE_MILLIS = 3000;

	/** Above this use, tokens wait for prompts of others at each step. */
	private static final double MAX_LINK_USE = 0.6;

	/**
	 * Added to the time of a path for each link. More than the paths of two data centres
	 * differ by, so that links stay free for data centres that have lost layers.
	 */
	private static final double CROSSING_PENALTY_MILLIS = 8000;

	/**
	 * Added to the time of a path whose runners are all full, and in proportion below. A
	 * few times what the copies of a model differ by, so that they are about equally full
	 * and the loss of a card breaks as few streams as possible.
	 */
	private static final double LOAD_PENALTY_MILLIS = 4000;

	private final EngineProfile profile;

	/**
	 * Creates a chooser.
	 * @param profile the engines
	 */
	public PathChooser(EngineProfile profile) {
		this.profile = profile;
	}

	/**
	 * Chooses a path.
	 * @param holders runners that hold layers
	 * @param loads load of the runners
	 * @param size size of the request
	 * @param allowed runners that may be used
	 * @return the path, or empty if no path has room
	 */
	public Optional<LayerPath> choose(List<Holder> holders, PathLoads loads, RequestSize size,
			Predicate<RunnerId> allowed) {
		List<Holder> usable = holders.stream().filter((holder) -> allowed.test(holder.runner())).toList();
		Optional<LayerPath> path = new Search(usable, loads, size, false).run();
		if (path.isPresent() && repeatsRunner(path.get())) {
			return new Search(usable, loads, size, true).run();
		}
		return path;
	}

	// A path may not return to a runner; whole ranges exclude that.
	private static boolean repeatsRunner(LayerPath path) {
		Set<RunnerId> seen = new HashSet<>();
		return !path.hops().stream().allMatch((hop) -> seen.add(hop.runner()));
	}

	private static LayerPath path(Step end) {
		List<LayerPath.Hop> hops = new ArrayList<>();
		double first = 0;
		double token = 0;
		for (Step step = end; step != null; step = step.previous) {
			hops.add(new LayerPath.Hop(step.candidate.holder.runner(), new LayerRange(step.first, step.end)));
			double each = step.stepMillis() + step.crossing.tokenMillis;
			first += step.readMillis() + step.crossing.readMillis + each;
			token += each;
		}
		Collections.reverse(hops);
		return new LayerPath(hops, first, token);
	}

	/** One search, by layer and data centre of the last runner. */
	private final class Search {

		private final List<Candidate> candidates;

		private final PathLoads loads;

		private final RequestSize size;

		private final boolean toTheEnd;

		private final List<DataCentreId> dataCentres;

		private final boolean[] boundary;

		private final @Nullable Step[][] best;

		Search(List<Holder> usable, PathLoads loads, RequestSize size, boolean toTheEnd) {
			this.loads = loads;
			this.size = size;
			this.toTheEnd = toTheEnd;
			int layers = PathChooser.this.profile.layers();
			this.candidates = usable.stream()
				.filter((holder) -> holder.layers().end() <= layers)
				.map((holder) -> new Candidate(holder, loads, size, PathChooser.this.profile))
				.filter((candidate) -> candidate.room > 0)
				.toList();
			this.dataCentres = usable.stream().map(Holder::dataCentre).distinct().sorted().toList();
			this.boundary = new boolean[layers + 1];
			this.boundary[layers] = true;
			this.candidates.forEach((candidate) -> this.boundary[candidate.holder.layers().first()] = true);
			this.best = new Step[layers + 1][this.dataCentres.size()];
		}

		Optional<LayerPath> run() {
			int layers = PathChooser.this.profile.layers();
			for (int layer = 0; layer < layers; layer++) {
				for (Candidate candidate : this.candidates) {
					LayerRange range = candidate.holder.layers();
					if (range.first() <= layer && layer < range.end()) {
						extend(candidate, layer);
					}
				}
			}
			Step end = null;
			for (Step step : this.best[layers]) {
				if (step != null && (end == null || step.cost < end.cost)) {
					end = step;
				}
			}
			return (end != null) ? Optional.of(path(end)) : Optional.empty();
		}

		private void extend(Candidate candidate, int layer) {
			Step from = (layer > 0) ? cheapest(candidate, layer) : null;
			boolean full = layer == 0 && candidate.load.entered() >= PathChooser.this.profile.slots();
			if (full || (layer > 0 && from == null)) {
				return;
			}
			int end = candidate.holder.layers().end();
			int most = Math.min(end, layer + candidate.room);
			int zone = this.dataCentres.indexOf(candidate.holder.dataCentre());
			for (int next = layer + 1; next <= most; next++) {
				if (next == end || (this.boundary[next] && !this.toTheEnd)) {
					Step step = new Step(candidate, layer, next, from,
							(from != null) ? crossing(from.candidate.holder, candidate.holder) : Crossing.NONE,
							this.size);
					Step known = this.best[next][zone];
					if (known == null || step.cost < known.cost) {
						this.best[next][zone] = step;
					}
				}
			}
		}

		private @Nullable Step cheapest(Candidate candidate, int layer) {
			Step result = null;
			double cost = Double.MAX_VALUE;
			for (Step step : this.best[layer]) {
				Crossing crossing = (step != null && step.candidate != candidate)
						? crossing(step.candidate.holder, candidate.holder) : null;
				if (step != null && crossing != null && step.cost + crossing.cost(this.size) < cost) {
					cost = step.cost + crossing.cost(this.size);
					result = step;
				}
			}
			return result;
		}

		// The link between two runners, or null if it carries too much.
		private @Nullable Crossing crossing(Holder before, Holder holder) {
			EngineProfile engine = PathChooser.this.profile;
			double delay = engine.delayMillis(before.dataCentre(), holder.dataCentre());
			double token = engine.pipeMillis(1);
			if (before.dataCentre().equals(holder.dataCentre()) || token == 0) {
				return new Crossing(delay, 0, 0);
			}
			int others = this.loads.of(PathLoads.link(before.dataCentre(), holder.dataCentre())).running();
			double usual = engine.promptTokens() + engine.answerTokens();
			double used = (others + 1) * usual * token / USUAL_RESIDENCE_MILLIS;
			if (used > MAX_LINK_USE) {
				return null;
			}
			double wait = engine.promptTokens() * token * used / (2 * (1 - used));
			return new Crossing(delay + token + wait, token, CROSSING_PENALTY_MILLIS);
		}

	}

	/** A runner with its times for one layer. */
	private static final class Candidate {

		private final Holder holder;

		private final RunnerLoad load;

		private final double stepMillis;

		private final double readMillis;

		private final double penaltyMillis;

		private final int room;

		Candidate(Holder holder, PathLoads loads, RequestSize size, EngineProfile profile) {
			this.holder = holder;
			this.load = loads.of(holder.runner());
			int held = holder.layers().size();
			double together = (this.load.running() + 1) * SHARE_OF_PASS;
			double context = (this.load.tokenLayers() / (double) held + size.tokens()) * SHARE_OF_PASS;
			this.stepMillis = holder.slowness() * profile.stepMillis(holder.card(), 1, together, context);
			double layerRead = holder.slowness() * profile.readMillis(holder.card(), 1, 1);
			double backlog = layerRead * this.load.unreadLayers();
			this.readMillis = layerRead * size.prompt();
			double capacity = profile.tokenCapacity(holder.card(), held) * MEMORY_PART * held;
			double free = capacity - this.load.tokenLayers();
			double use = (capacity > 0) ? this.load.tokenLayers() / capacity : 1;
			this.penaltyMillis = LOAD_PENALTY_MILLIS * use / profile.layers();
			this.room = (backlog > MAX_BACKLOG_MILLIS) ? 0 : (int) Math.min(held, free / Math.max(1, size.tokens()));
		}

	}

	/** A runner at the end of the cheapest path that reaches a layer. */
	private static final class Step {

		private final Candidate candidate;

		private final int first;

		private final int end;

		private final @Nullable Step previous;

		private final Crossing crossing;

		private final double cost;

		Step(Candidate candidate, int first, int end, @Nullable Step previous, Crossing crossing, RequestSize size) {
			this.candidate = candidate;
			this.first = first;
			this.end = end;
			this.previous = previous;
			this.crossing = crossing;
			this.cost = ((previous != null) ? previous.cost : 0) + crossing.cost(size) + readMillis()
					+ size.answer() * stepMillis() + this.candidate.penaltyMillis * (end - first);
		}

		double stepMillis() {
			return this.candidate.stepMillis * (this.end - this.first);
		}

		double readMillis() {
			return this.candidate.readMillis * (this.end - this.first);
		}

	}

	/**
	 * Transfer between two runners.
	 *
	 * @param tokenMillis time for each token of the answer
	 * @param readMillis time for each token of the prompt
	 * @param penaltyMillis preference for paths without this transfer
	 */
	private record Crossing(double tokenMillis, double readMillis, double penaltyMillis) {

		private static final Crossing NONE = new Crossing(0, 0, 0);

		double cost(RequestSize size) {
			return this.penaltyMillis + size.prompt() * this.readMillis + size.answer() * this.tokenMillis;
		}

	}

}
