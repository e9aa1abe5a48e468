package io.bilberryvalve.policy.placement;

/**
 * A kind of accelerator card.
 *
 * @param name name of the kind
 * @param megabytes memory of the card
 * @param stepFactor time of a token step relative to the reference card
 * @param prefillFactor time of reading prompt tokens relative to the reference card
 */
public record CardKind(String name, double megabytes, double stepFactor, double prefillFactor) {

	/**
	 * Checks the figures.
	 * @throws IllegalArgumentException if a figure is not positive
	 */
	public CardKind {
		if (!(megabytes > 0 && stepFactor > 0 && prefillFactor > 0)) {
			throw new IllegalArgumentException("card kind " + name + " needs positive memory and time factors");
		}
	}

}
