package io.bilberryvalve.operators;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.Labels;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.PipelineId;
import org.jspecify.annotations.Nullable;

/**
 * Declares a pipeline. {@link ClubDeclaration#pipeline} hands it out.
 */
public final class PipelineDeclaration {

	private final PipelineId id;

	private final Set<CallerId> known;

	private final Map<CallerId, CallerId> callers = new LinkedHashMap<>();

	private @Nullable ModelVersion model;

	private @Nullable String adapter;

	private int maxTokens;

	PipelineDeclaration(String id, Set<CallerId> known) {
		this.id = new PipelineId(id);
		this.known = known;
	}

	/**
	 * States the model version that answers.
	 * @param name a model of the federation part
	 * @param version its version
	 * @return this declaration
	 * @throws IllegalArgumentException if a name is malformed
	 */
	public PipelineDeclaration model(String name, String version) {
		this.model = new ModelVersion(new ModelId(name), Labels.check(version));
		return this;
	}

	/**
	 * States the adapter; without this call there is none.
	 * @param name an adapter of the model
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed
	 */
	public PipelineDeclaration adapter(String name) {
		this.adapter = Labels.check(name);
		return this;
	}

	/**
	 * States the length of the longest reply.
	 * @param tokens length in tokens, at least 1
	 * @return this declaration
	 * @throws IllegalArgumentException if the length is below 1
	 */
	public PipelineDeclaration maxTokens(int tokens) {
		this.maxTokens = Arguments.positive("maxTokens", tokens);
		return this;
	}

	/**
	 * Permits callers to use the pipeline.
	 * @param names callers declared before
	 * @return this declaration
	 * @throws IllegalArgumentException if a caller is not declared or named twice
	 */
	public PipelineDeclaration callers(String... names) {
		for (String name : names) {
			CallerId caller = Arguments.known(this.known, new CallerId(name), "caller");
			Arguments.add(this.callers, caller, caller, "caller of pipeline " + this.id + ":");
		}
		return this;
	}

	ClubPart.Pipeline build() {
		if (this.model == null || this.maxTokens == 0) {
			throw new IllegalArgumentException("pipeline " + this.id + " is incomplete; call model and maxTokens");
		}
		return new ClubPart.Pipeline(this.id, this.model, this.adapter, this.callers.keySet().stream().toList(),
				this.maxTokens);
	}

}
