package io.bilberryvalve.policy.share;

/**
 * Tags of one flow in start-time fair queueing.
 */
final class Flow {

	private double start;

	private double finish;

	double start() {
		return this.start;
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
	 * @param weight weight of the flow
	 */
	void serve(double cost, double weight) {
		this.finish = this.start + cost / weight;
		this.start = this.finish;
	}

	/**
	 * Corrects an earlier charge.
	 * @param difference actual cost minus charged cost in tokens
	 * @param weight weight of the flow
	 */
	void correct(double difference, double weight) {
		this.finish += difference / weight;
		this.start += difference / weight;
	}

}
