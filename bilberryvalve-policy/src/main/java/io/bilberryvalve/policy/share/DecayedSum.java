package io.bilberryvalve.policy.share;

/**
 * A sum in which older values count less: half after the half-life.
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
	 * Returns the rate of a steady flow that would give this sum.
	 * @param nowMillis current time in ms
	 * @return units per second
	 */
	double ratePerSecond(long nowMillis) {
		return valueAt(nowMillis) * Math.log(2) / (this.halfLifeMillis / 1000);
	}

}
