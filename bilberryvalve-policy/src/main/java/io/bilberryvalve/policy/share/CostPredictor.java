package io.bilberryvalve.policy.share;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Predicts the token cost of a request from its declared cost, which is often only an
 * upper bound, and from the ratio of consumed to declared tokens in earlier requests of
 * the same team. Safe for use by several threads without locks.
 */
public final class CostPredictor {

	private static final double WEIGHT_OF_LATEST = 0.1;

	// Bounds the effect of a few unusual requests on the next ones.
	private static final double MIN_RATIO = 0.02;

	private static final double MAX_RATIO = 4;

	private final ConcurrentHashMap<TeamKey, AtomicLong> ratios = new ConcurrentHashMap<>();

	/**
	 * Predicts the cost of a request.
	 * @param team team of the caller
	 * @param declared declared cost in tokens: prompt plus maximum output
	 * @return the expected cost in tokens, at least 1
	 */
	public int predict(TeamKey team, int declared) {
		AtomicLong ratio = this.ratios.get(team);
		double factor = (ratio != null) ? Double.longBitsToDouble(ratio.get()) : 1;
		return (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.round(declared * factor)));
	}

	/**
	 * Records the actual cost of a completed request.
	 * @param team team of the caller
	 * @param declared declared cost in tokens; the call has no effect if it is not
	 * positive
	 * @param actual tokens consumed; the call has no effect if negative
	 */
	public void observe(TeamKey team, int declared, int actual) {
		if (declared <= 0 || actual < 0) {
			return;
		}
		double latest = Math.min(MAX_RATIO, Math.max(MIN_RATIO, (double) actual / declared));
		this.ratios.computeIfAbsent(team, (key) -> new AtomicLong(Double.doubleToLongBits(1)))
			.updateAndGet((bits) -> Double
				.doubleToLongBits((1 - WEIGHT_OF_LATEST) * Double.longBitsToDouble(bits) + WEIGHT_OF_LATEST * latest));
	}

}
