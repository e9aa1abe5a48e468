package io.bilberryvalve.standins.engine;

/**
 * Speed of an accelerator.
 *
 * @param decodeRate layer-tokens a second in the decode phase
 * @param prefillRate layer-tokens a second in the prefill phase
 */
public record Speed(double decodeRate, double prefillRate) {

	/**
	 * Checks the rates.
	 * @throws IllegalArgumentException if a rate is not positive
	 */
	public Speed {
		if (!(decodeRate > 0) || !(prefillRate > 0)) {
			throw new IllegalArgumentException("rates must be positive layer-tokens a second");
		}
	}

}
