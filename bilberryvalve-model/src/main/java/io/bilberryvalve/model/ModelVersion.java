package io.bilberryvalve.model;

/**
 * A version of a model.
 *
 * @param model identifier of the model
 * @param version version label, not blank
 */
public record ModelVersion(ModelId model, String version) {

	/**
	 * Checks the version.
	 * @throws IllegalArgumentException if the version is blank
	 */
	public ModelVersion {
		if (version.isBlank()) {
			throw new IllegalArgumentException("version of model '" + model + "' is blank; give a version");
		}
	}

	@Override
	public String toString() {
		return this.model + "@" + this.version;
	}

}
