package io.bilberryvalve.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import org.jspecify.annotations.Nullable;

/**
 * Finds the layers of a model that no runner holds. Results are kept, because the
 * pipelines of many clubs use the same models.
 */
final class Coverage {

	private final Map<ModelVersion, List<Runner>> runners = new HashMap<>();

	private final Map<String, List<LayerRange>> gaps = new HashMap<>();

	Coverage(List<Runner> runners) {
		runners.forEach(
				(runner) -> this.runners.computeIfAbsent(runner.model(), (model) -> new ArrayList<>()).add(runner));
	}

	/**
	 * Returns the layers without a runner. A runner with an adapter also serves requests
	 * without one, and a runner can serve a part of the layers that it holds.
	 * @param spec the model
	 * @param adapter the adapter that the runners must have, or {@code null} for none
	 * @return the gaps in order, empty if a chain of runners covers the model
	 */
	List<LayerRange> gaps(FederationPart.ModelSpec spec, @Nullable String adapter) {
		return this.gaps.computeIfAbsent(spec.model() + " " + adapter, (key) -> find(spec, adapter));
	}

	private List<LayerRange> find(FederationPart.ModelSpec spec, @Nullable String adapter) {
		List<LayerRange> held = new ArrayList<>(this.runners.getOrDefault(spec.model(), List.of())
			.stream()
			.filter((runner) -> adapter == null || adapter.equals(runner.adapter()))
			.map(Runner::layers)
			.toList());
		Collections.sort(held);
		List<LayerRange> found = new ArrayList<>();
		int reached = 0;
		for (LayerRange range : held) {
			if (range.first() > reached) {
				found.add(new LayerRange(reached, range.first()));
			}
			reached = Math.max(reached, range.end());
		}
		if (reached < spec.layers()) {
			found.add(new LayerRange(reached, spec.layers()));
		}
		return found;
	}

}
