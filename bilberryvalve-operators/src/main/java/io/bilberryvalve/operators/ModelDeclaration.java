package io.bilberryvalve.operators;

import java.util.LinkedHashMap;
import java.util.Map;

import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.config.Labels;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;

/**
 * Declares a model version. {@link Federation#model} hands it out.
 */
public final class ModelDeclaration {

	private final ModelVersion model;

	private final Map<String, String> adapters = new LinkedHashMap<>();

	private int layers;

	private long activationBytes;

	private long kvBytes;

	ModelDeclaration(String model, String version) {
		this.model = new ModelVersion(new ModelId(model), Labels.check(version));
	}

	/**
	 * States the number of layers.
	 * @param count number of layers, at least 1
	 * @return this declaration
	 * @throws IllegalArgumentException if the number is below 1
	 */
	public ModelDeclaration layers(int count) {
		this.layers = Arguments.positive("layers", count);
		return this;
	}

	/**
	 * States the size of an activation.
	 * @param bytes bytes passed from stage to stage for one token, at least 1
	 * @return this declaration
	 * @throws IllegalArgumentException if the size is below 1
	 */
	public ModelDeclaration activationBytes(long bytes) {
		this.activationBytes = Arguments.positive("activationBytes", bytes);
		return this;
	}

	/**
	 * States the size of the KV cache.
	 * @param bytes bytes for one token in one layer, at least 1
	 * @return this declaration
	 * @throws IllegalArgumentException if the size is below 1
	 */
	public ModelDeclaration kvBytesPerTokenLayer(long bytes) {
		this.kvBytes = Arguments.positive("kvBytesPerTokenLayer", bytes);
		return this;
	}

	/**
	 * Adds adapters that may be loaded with the model.
	 * @param names the adapters
	 * @return this declaration
	 * @throws IllegalArgumentException if a name is malformed or declared twice
	 */
	public ModelDeclaration adapters(String... names) {
		for (String name : names) {
			Arguments.add(this.adapters, Labels.check(name), name, "adapter");
		}
		return this;
	}

	ModelVersion model() {
		return this.model;
	}

	FederationPart.ModelSpec build() {
		if (this.layers == 0 || this.activationBytes == 0 || this.kvBytes == 0) {
			throw new IllegalArgumentException(
					"model " + this.model + " is incomplete; call layers, activationBytes and kvBytesPerTokenLayer");
		}
		return new FederationPart.ModelSpec(this.model, this.layers, this.activationBytes, this.kvBytes,
				this.adapters.keySet().stream().toList());
	}

}
