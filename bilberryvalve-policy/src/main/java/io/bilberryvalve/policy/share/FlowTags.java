package io.bilberryvalve.policy.share;

/**
 * Tags and weight of one flow in start-time fair queueing.
 */
final class FlowTags {

	private double weight = 1;

	private double start;

	private double finish;

	double start() {
		return this.start;
	}

	double weight() {
		return this.weight;
	}

	/**
	 * Changes the weight. The distance to the virtual time is what the flow has been
	 * served ahead of others; it is kept in tokens, so that a charge made under a small
	 * former weight does not hold the flow back under a larger one.
	 * @param next new weight, positive
	 * @param virtualTime virtual time of the scheduler
	 */
	void setWeight(double next, double virtualTime) {
		double factor = this.weight / next;
		this.start = virtualTime + (this.start - virtualTime) * factor;
		this.finish = virtualTime + (this.finish - virtualTime) * factor;
		this.weight = next;
	}

	/**
	 * Begins a busy period. An idle flow gets no credit for the past.
	 * @param virtualTime virtual time of the scheduler
	 */
	void activate(double virtualTime) {
		this.start = Math.max(virtualTime, this.finish);
	}

	/**
	 * Charges the request at the head.
	 * @param cost its cost in tokens
	 */
	void charge(double cost) {
		this.finish = this.start + cost / this.weight;
		this.start = this.finish;
	}

	/**
	 * Corrects an earlier charge.
	 * @param difference actual cost minus charged cost in tokens
	 */
	void adjustCharge(double difference) {
		this.finish += difference / this.weight;
		this.start += difference / this.weight;
	}

}
