package io.bilberryvalve.policy.placement;

/**
 * A kind of accelerator card.
 *
 * @param name name by which runners state their kind of card
 * @param megabytes memory of the card in MB
 * @param stepFactor time of a decode step, as a multiple of that of the reference card
 * @param prefillFactor time to prefill prompt tokens, as a multiple of that of the
 * reference card
 */
public record CardKind(String name, double megabytes, double stepFactor, double prefillFactor) {

	/**
	 * Validates the figures.
	 * @throws IllegalArgumentException if a figure is not positive
	 */
	public CardKind {
		if (!(megabytes > 0 && stepFactor > 0 && prefillFactor > 0)) {
			throw new IllegalArgumentException("card kind " + name + " needs positive memory and time factors");
		}
	}

}
