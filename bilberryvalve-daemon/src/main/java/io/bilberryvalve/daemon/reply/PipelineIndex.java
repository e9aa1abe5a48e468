package io.bilberryvalve.daemon.reply;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart.ModelSpec;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.PipelineId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.PlanKey;
import org.jspecify.annotations.Nullable;

/**
 * Looks up pipelines, models and runners in the configuration in force. The first lookup
 * after a change of the configuration builds new maps, which later lookups share.
 */
final class PipelineIndex {

	private final ConfigurationSource source;

	private final AtomicReference<Snapshot> snapshot = new AtomicReference<>(
			new Snapshot(FederationConfiguration.empty()));

	PipelineIndex(ConfigurationSource source) {
		this.source = source;
	}

	/**
	 * Finds a pipeline that a caller may use.
	 * @param caller the caller
	 * @param pipeline pipeline that the caller asks for
	 * @return the pipeline, or a problem that does not reveal whether another club has
	 * such a pipeline
	 */
	Result<ResolvedPipeline> resolve(Principal.Caller caller, PipelineId pipeline) {
		Snapshot maps = snapshot();
		ClubPart.Pipeline found = maps.pipelines.get(new PipelineKey(caller.club(), pipeline));
		if (found == null || !found.callers().contains(caller.caller())) {
			return Result.failed(Problem.notRun(ProblemKind.FORBIDDEN,
					"caller '" + caller.caller() + "' may not use pipeline '" + pipeline + "'",
					"use a pipeline that your club declares for this caller, or ask an operator of your club"));
		}
		ModelSpec model = maps.models.get(found.model());
		if (model == null) {
			return Result.failed(Problem.notRun(ProblemKind.NO_RUNNER,
					"model " + found.model() + " of pipeline '" + pipeline + "' is not declared",
					"ask an operator of the federation to declare the model"));
		}
		return Result.ok(new ResolvedPipeline(pipeline, new PlanKey(found.model(), found.adapter()), model.layers(),
				found.maxTokens()));
	}

	@Nullable Runner runner(RunnerId id) {
		return snapshot().runners.get(id);
	}

	int layers(ModelVersion model) {
		ModelSpec spec = snapshot().models.get(model);
		return (spec != null) ? spec.layers() : 0;
	}

	private Snapshot snapshot() {
		FederationConfiguration current = this.source.current();
		Snapshot maps = this.snapshot.get();
		if (maps.configuration != current) {
			maps = new Snapshot(current);
			this.snapshot.set(maps);
		}
		return maps;
	}

	/**
	 * A pipeline with its model.
	 *
	 * @param pipeline id of the pipeline
	 * @param key model version and adapter
	 * @param layers number of layers of the model
	 * @param maxTokens maximum length of a reply in tokens
	 */
	record ResolvedPipeline(PipelineId pipeline, PlanKey key, int layers, int maxTokens) {

	}

	private record PipelineKey(ClubId club, PipelineId pipeline) {

	}

	private static final class Snapshot {

		private final FederationConfiguration configuration;

		private final Map<PipelineKey, ClubPart.Pipeline> pipelines = new HashMap<>();

		private final Map<ModelVersion, ModelSpec> models = new HashMap<>();

		private final Map<RunnerId, Runner> runners = new HashMap<>();

		Snapshot(FederationConfiguration configuration) {
			this.configuration = configuration;
			for (ClubPart club : configuration.clubs().values()) {
				for (ClubPart.Pipeline pipeline : club.pipelines()) {
					this.pipelines.put(new PipelineKey(club.club(), pipeline.pipeline()), pipeline);
				}
			}
			configuration.federation().models().forEach((spec) -> this.models.put(spec.model(), spec));
			configuration.federation().runners().forEach((runner) -> this.runners.put(runner.id(), runner));
		}

	}

}
