package io.bilberryvalve.policy.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.TreeSet;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Finds the cheapest path through the layers of a model by dynamic programming over layer
 * boundaries. A state is a boundary together with the data centre of the stage that ends
 * there, because the link time to the next stage depends on that data centre.
 */
final class BoundarySearch {

	private final ModelShape model;

	private final List<Candidate> candidates;

	private final int[] boundaries;

	private final int[] centreOf;

	private final double[][] linkSeconds;

	BoundarySearch(ModelShape model, List<Candidate> candidates, LinkTable links) {
		this.model = model;
		this.candidates = candidates;
		this.boundaries = boundaries(model, candidates);
		List<DataCentreId> centres = candidates.stream().map((c) -> c.runner().dataCentre()).distinct().toList();
		this.centreOf = candidates.stream().mapToInt((c) -> centres.indexOf(c.runner().dataCentre())).toArray();
		this.linkSeconds = linkSeconds(model, centres, links);
	}

	/**
	 * Finds the cheapest path. The path may use a candidate twice.
	 * @param starts for each candidate the range of layers at which its stages may start
	 * @return the path, or {@code null} if the candidates do not cover the model
	 */
	@Nullable Path search(LayerRange[] starts) {
		int last = this.boundaries.length - 1;
		if (last < 1 || this.boundaries[0] != 0 || this.boundaries[last] != this.model.layers()) {
			return null;
		}
		CostTable table = new CostTable(this.boundaries.length, this.linkSeconds.length);
		for (int from = 0; from < last; from++) {
			table.computeArrivals(from, this.linkSeconds);
			for (int c = 0; c < this.candidates.size(); c++) {
				extend(table, from, c, starts[c]);
			}
		}
		return path(table, last);
	}

	private void extend(CostTable table, int from, int candidate, LayerRange start) {
		Candidate c = this.candidates.get(candidate);
		LayerRange held = c.runner().layers();
		int layer = this.boundaries[from];
		double arrival = table.arrivalSeconds[from][this.centreOf[candidate]];
		if (layer < Math.max(held.first(), start.first()) || layer >= start.end() || arrival == Double.MAX_VALUE) {
			return;
		}
		for (int to = from + 1; to < this.boundaries.length && this.boundaries[to] <= held.end(); to++) {
			double seconds = arrival + c.seconds(this.boundaries[to] - layer);
			table.relax(to, this.centreOf[candidate], seconds, candidate, from);
		}
	}

	private @Nullable Path path(CostTable table, int last) {
		int centre = 0;
		for (int d = 1; d < this.linkSeconds.length; d++) {
			centre = (table.seconds[last][d] < table.seconds[last][centre]) ? d : centre;
		}
		double seconds = table.seconds[last][centre];
		if (seconds == Double.MAX_VALUE) {
			return null;
		}
		List<Hop> hops = new ArrayList<>();
		for (int at = last; at > 0;) {
			int from = table.previousBoundary[at][centre];
			int candidate = table.candidate[at][centre];
			hops.add(new Hop(candidate, new LayerRange(this.boundaries[from], this.boundaries[at])));
			centre = table.previousCentre[from][centre];
			at = from;
		}
		Collections.reverse(hops);
		return new Path(hops, seconds);
	}

	private static int[] boundaries(ModelShape model, List<Candidate> candidates) {
		TreeSet<Integer> set = new TreeSet<>();
		for (Candidate candidate : candidates) {
			LayerRange held = candidate.runner().layers();
			set.add(held.first());
			set.add(Math.min(held.end(), model.layers()));
		}
		return set.headSet(model.layers(), true).stream().mapToInt(Integer::intValue).toArray();
	}

	private static double[][] linkSeconds(ModelShape model, List<DataCentreId> centres, LinkTable links) {
		double[][] seconds = new double[centres.size()][centres.size()];
		for (int i = 0; i < seconds.length; i++) {
			for (int j = 0; j < seconds.length; j++) {
				seconds[i][j] = links.seconds(centres.get(i), centres.get(j), model.activationBytes());
			}
		}
		return seconds;
	}

	/**
	 * A stage of a path.
	 *
	 * @param candidate position in the list of candidates
	 * @param layers layers that the candidate computes
	 */
	record Hop(int candidate, LayerRange layers) {

	}

	/**
	 * A path through all layers.
	 *
	 * @param hops stages in layer order
	 * @param seconds queue, compute and link time for one token in seconds
	 */
	record Path(List<Hop> hops, double seconds) {

	}

	/**
	 * Least costs found so far by boundary and data centre, with the previous steps from
	 * which the path is rebuilt. Costs are in seconds; {@code Double.MAX_VALUE} means
	 * unreachable.
	 */
	private static final class CostTable {

		private final double[][] seconds;

		private final double[][] arrivalSeconds;

		private final int[][] candidate;

		private final int[][] previousBoundary;

		private final int[][] previousCentre;

		CostTable(int boundaries, int centres) {
			this.seconds = filled(boundaries, centres);
			this.arrivalSeconds = filled(boundaries, centres);
			this.candidate = new int[boundaries][centres];
			this.previousBoundary = new int[boundaries][centres];
			this.previousCentre = new int[boundaries][centres];
		}

		// Computes the least cost at which the activation of a boundary reaches each data
		// centre.
		void computeArrivals(int boundary, double[][] linkSeconds) {
			for (int to = 0; to < linkSeconds.length; to++) {
				if (boundary == 0) {
					this.arrivalSeconds[0][to] = 0;
					continue;
				}
				for (int d = 0; d < linkSeconds.length; d++) {
					double cost = this.seconds[boundary][d];
					double total = (cost != Double.MAX_VALUE) ? cost + linkSeconds[d][to] : cost;
					if (total < this.arrivalSeconds[boundary][to]) {
						this.arrivalSeconds[boundary][to] = total;
						this.previousCentre[boundary][to] = d;
					}
				}
			}
		}

		void relax(int boundary, int centre, double cost, int byCandidate, int fromBoundary) {
			if (cost < this.seconds[boundary][centre]) {
				this.seconds[boundary][centre] = cost;
				this.candidate[boundary][centre] = byCandidate;
				this.previousBoundary[boundary][centre] = fromBoundary;
			}
		}

		private static double[][] filled(int rows, int columns) {
			double[][] values = new double[rows][columns];
			for (double[] row : values) {
				Arrays.fill(row, Double.MAX_VALUE);
			}
			return values;
		}

	}

}
