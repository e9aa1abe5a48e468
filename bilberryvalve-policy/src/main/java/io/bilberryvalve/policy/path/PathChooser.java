package io.bilberryvalve.policy.path;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.placement.EngineProfile;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the path with the least expected time of a whole answer over the runners' layer
 * boundaries, among paths whose runners all have memory for the request. Answers the load
 * pattern of one fast chain that fills up while slower cards idle: requests overflow to
 * the next best path, part by part.
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
	private static final double MAX_LINK_USE = 0.4;

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
		List<Holder> usable = holders.stream()
			.filter((holder) -> allowed.test(holder.runner()) && hasRoom(holder, loads, size))
			.sorted(Comparator.comparing(Holder::layers).thenComparing(Holder::runner))
			.toList();
		Step[] best = new Step[usable.size()];
		Step end = null;
		for (int i = 0; i < best.length; i++) {
			best[i] = reach(usable, best, i, loads, size);
			boolean last = usable.get(i).layers().end() == this.profile.layers();
			if (last && best[i] != null && (end == null || best[i].cost < end.cost)) {
				end = best[i];
			}
		}
		return (end != null) ? Optional.of(path(end)) : Optional.empty();
	}

	private @Nullable Step reach(List<Holder> usable, Step[] best, int index, PathLoads loads, RequestSize size) {
		Holder holder = usable.get(index);
		if (holder.layers().first() == 0) {
			boolean full = loads.entered(holder.runner()) >= this.profile.slots();
			return full ? null : new Step(holder, this.profile, loads, size).from(null, Crossing.NONE, size);
		}
		Step result = null;
		for (int i = 0; i < index; i++) {
			Holder before = usable.get(i);
			if (best[i] == null || before.layers().end() != holder.layers().first()) {
				continue;
			}
			Crossing crossing = crossing(before, holder, loads);
			if (crossing == null) {
				continue;
			}
			Step next = new Step(holder, this.profile, loads, size).from(best[i], crossing, size);
			if (result == null || next.cost < result.cost) {
				result = next;
			}
		}
		return result;
	}

	// The link between two data centres, or null if it carries too much.
	private @Nullable Crossing crossing(Holder before, Holder holder, PathLoads loads) {
		double delay = this.profile.delayMillis(before.dataCentre(), holder.dataCentre());
		double token = this.profile.pipeMillis(1);
		if (before.dataCentre().equals(holder.dataCentre()) || token == 0) {
			return new Crossing(delay, 0);
		}
		int others = loads.running(PathLoads.link(before.dataCentre(), holder.dataCentre()));
		double usual = this.profile.promptTokens() + this.profile.answerTokens();
		double used = (others + 1) * usual * token / USUAL_RESIDENCE_MILLIS;
		if (used > MAX_LINK_USE) {
			return null;
		}
		double wait = this.profile.promptTokens() * token * used / (2 * (1 - used));
		return new Crossing(delay + token + wait, token);
	}

	private boolean hasRoom(Holder holder, PathLoads loads, RequestSize size) {
		int held = holder.layers().size();
		double capacity = this.profile.tokenCapacity(holder.card(), held) * MEMORY_PART;
		double backlog = this.profile.readMillis(holder.card(), held, loads.unread(holder.runner()));
		return loads.tokens(holder.runner()) + size.tokens() <= capacity
				&& backlog * holder.slowness() <= MAX_BACKLOG_MILLIS;
	}

	private static LayerPath path(Step end) {
		List<LayerPath.Hop> hops = new ArrayList<>();
		double first = 0;
		double token = 0;
		for (Step step = end; step != null; step = step.previous) {
			hops.add(new LayerPath.Hop(step.holder.runner(), step.holder.layers()));
			first += step.readMillis + step.transferMillis + step.stepMillis + step.delay;
			token += step.stepMillis + step.delay;
		}
		Collections.reverse(hops);
		return new LayerPath(hops, first, token);
	}

	/** A runner at the end of the cheapest path that reaches it. */
	private static final class Step {

		private final Holder holder;

		private final double stepMillis;

		private final double readMillis;

		private @Nullable Step previous;

		private double delay;

		private double transferMillis;

		private double cost;

		Step(Holder holder, EngineProfile profile, PathLoads loads, RequestSize size) {
			this.holder = holder;
			int held = holder.layers().size();
			RunnerId runner = holder.runner();
			double together = (loads.running(runner) + 1) * SHARE_OF_PASS;
			double tokens = (loads.tokens(runner) + size.tokens()) * SHARE_OF_PASS;
			this.stepMillis = holder.slowness() * profile.stepMillis(holder.card(), held, together, tokens);
			this.readMillis = holder.slowness()
					* profile.readMillis(holder.card(), held, loads.unread(runner) + size.prompt());
		}

		Step from(@Nullable Step before, Crossing crossing, RequestSize size) {
			this.previous = before;
			this.delay = crossing.tokenMillis;
			this.transferMillis = size.prompt() * crossing.readMillis;
			this.cost = ((before != null) ? before.cost : 0) + this.transferMillis + this.readMillis
					+ size.answer() * (this.stepMillis + this.delay);
			return this;
		}

	}

	/**
	 * Transfer between two runners.
	 *
	 * @param tokenMillis time for each token of the answer
	 * @param readMillis time for each token of the prompt
	 */
	private record Crossing(double tokenMillis, double readMillis) {

		private static final Crossing NONE = new Crossing(0, 0);

	}

}
