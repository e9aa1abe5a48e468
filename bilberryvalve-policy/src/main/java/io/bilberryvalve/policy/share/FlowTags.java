package io.bilberryvalve.policy.share;

/**
 * Start tag, finish tag and weight of one flow (a club or a team) in start-time fair
 * queueing. The flow with the smallest start tag is served next; tags are in virtual
 * time, that is in tokens divided by weight.
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
	 * Changes the weight. The distance of a tag from the virtual time shows how far the
	 * flow has been served ahead of others. This distance is preserved in tokens, so that
	 * a charge made under a small old weight does not delay the flow under a larger new
	 * one.
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
	 * Begins a busy period. A flow gets no credit for the time in which it had no
	 * requests.
	 * @param virtualTime virtual time of the scheduler
	 */
	void activate(double virtualTime) {
		this.start = Math.max(virtualTime, this.finish);
	}

	/**
	 * Charges the flow for a request that starts.
	 * @param cost predicted cost of the request in tokens
	 */
	void charge(double cost) {
		this.finish = this.start + cost / this.weight;
		this.start = this.finish;
	}

	/**
	 * Adjusts an earlier charge to the actual cost.
	 * @param difference actual cost minus charged cost in tokens
	 */
	void adjustCharge(double difference) {
		this.finish += difference / this.weight;
		this.start += difference / this.weight;
	}

}
