package io.bilberryvalve.operators;

import io.bilberryvalve.config.Labels;
import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Declares a model runner. {@link Federation#runner} hands it out.
 */
public final class RunnerDeclaration {

	private final RunnerId id;

	private @Nullable Address address;

	private @Nullable DataCentreId dataCentre;

	private @Nullable AcceleratorKind kind;

	private @Nullable ModelVersion model;

	private @Nullable LayerRange layers;

	private @Nullable String adapter;

	private boolean checksFencing;

	RunnerDeclaration(String id) {
		this.id = new RunnerId(id);
	}

	/**
	 * States where the engine listens.
	 * @param hostAndPort for example {@code 10.0.0.7:9000}
	 * @return this declaration
	 * @throws IllegalArgumentException if the address is malformed
	 */
	public RunnerDeclaration address(String hostAndPort) {
		this.address = Address.parse(hostAndPort);
		return this;
	}

	/**
	 * States where the runner is.
	 * @param name a data centre declared before
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed
	 */
	public RunnerDeclaration dataCentre(String name) {
		this.dataCentre = new DataCentreId(name);
		return this;
	}

	/**
	 * States the kind of accelerator.
	 * @param name an accelerator kind declared before
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed
	 */
	public RunnerDeclaration accelerator(String name) {
		this.kind = new AcceleratorKind(name);
		return this;
	}

	/**
	 * States what the runner holds.
	 * @param name model declared before
	 * @param version version of the model
	 * @param first first layer, inclusive, from 0
	 * @param end last layer, exclusive
	 * @return this declaration
	 * @throws IllegalArgumentException if a name is malformed or the range is empty
	 */
	public RunnerDeclaration holds(String name, String version, int first, int end) {
		this.model = new ModelVersion(new ModelId(name), Labels.check(version));
		this.layers = new LayerRange(first, end);
		return this;
	}

	/**
	 * States the adapter that the runner has loaded; without this call there is none.
	 * @param name adapter of the model
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed
	 */
	public RunnerDeclaration adapter(String name) {
		this.adapter = Labels.check(name);
		return this;
	}

	/**
	 * States that the engine refuses orders with an old fencing number; without this call
	 * it is taken to ignore the number.
	 * @return this declaration
	 */
	public RunnerDeclaration checksFencing() {
		this.checksFencing = true;
		return this;
	}

	Runner build() {
		if (this.address == null || this.dataCentre == null || this.kind == null || this.model == null
				|| this.layers == null) {
			throw new IllegalArgumentException(
					"runner " + this.id + " is incomplete; call address, dataCentre, accelerator and holds");
		}
		return new Runner(this.id, this.address, this.dataCentre, this.kind, this.model, this.layers,
				this.checksFencing, this.adapter);
	}

}
