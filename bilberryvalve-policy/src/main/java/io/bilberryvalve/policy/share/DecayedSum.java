package io.bilberryvalve.policy.share;

/**
 * Exponentially decayed sum: a value counts in full when it is added and half as much
 * after each half-life. Not safe for use by several threads.
 */
final class DecayedSum {

	private final double halfLifeMillis;

	private double sum;

	private long updatedMillis;

	DecayedSum(double halfLifeMillis) {
		this.halfLifeMillis = halfLifeMillis;
	}

	void add(double value, long nowMillis) {
		this.sum = valueAt(nowMillis) + value;
		this.updatedMillis = nowMillis;
	}

	double valueAt(long nowMillis) {
		return this.sum * Math.pow(2, -Math.max(0, nowMillis - this.updatedMillis) / this.halfLifeMillis);
	}

	/**
	 * Returns the constant rate of additions at which the sum would stay at its present
	 * value.
	 * @param nowMillis current time in ms
	 * @return units per second
	 */
	double ratePerSecond(long nowMillis) {
		return valueAt(nowMillis) * Math.log(2) / (this.halfLifeMillis / 1000);
	}

}
