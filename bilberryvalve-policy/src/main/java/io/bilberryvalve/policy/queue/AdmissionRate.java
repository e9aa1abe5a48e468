package io.bilberryvalve.policy.queue;

/**
 * Measures the cost that is admitted per time while requests wait. Times in which nothing
 * waits do not count, since the rate is then that of the callers and not that of the
 * runners. Recent times have a larger weight.
 */
final class AdmissionRate {

	/** Waiting time in milliseconds after which a measurement has the weight 1/e. */
	private static final double TIME_CONSTANT_MILLIS = 1000;

	/**
	 * Time in milliseconds without waiting requests after which the measurement is
	 * discarded. Runners start and load other layers within some seconds.
	 */
	private static final long LIFETIME_MILLIS = 5000;

	/** Admissions without which there is no measurement. */
	private static final int MIN_ADMISSIONS = 3;

	/** Waiting time in milliseconds without which there is no measurement. */
	private static final double MIN_MEASURED_MILLIS = 50;

	private double cost;

	private double millis;

	private int admissions;

	private long updatedAt;

	private long waitedAt;

	/**
	 * Counts the time since the last call. To be called before each change of the queue.
	 * @param now present time in milliseconds
	 * @param waiting whether any requests have waited since the last call
	 */
	void advance(long now, boolean waiting) {
		if (waiting) {
			double kept = Math.exp((this.updatedAt - now) / TIME_CONSTANT_MILLIS);
			this.cost *= kept;
			this.millis = this.millis * kept + TIME_CONSTANT_MILLIS * (1 - kept);
			this.waitedAt = now;
		}
		else if (now - this.waitedAt > LIFETIME_MILLIS) {
			this.cost = 0;
			this.millis = 0;
			this.admissions = 0;
		}
		this.updatedAt = now;
	}

	/**
	 * Counts an admitted request.
	 * @param admitted its cost
	 */
	void record(long admitted) {
		this.cost += admitted;
		this.admissions = Math.min(this.admissions + 1, MIN_ADMISSIONS);
	}

	/**
	 * Returns the rate.
	 * @return cost per millisecond, 0 if it has not been measured
	 */
	double perMilli() {
		boolean measured = this.admissions >= MIN_ADMISSIONS && this.millis >= MIN_MEASURED_MILLIS;
		return measured ? this.cost / this.millis : 0;
	}

}
