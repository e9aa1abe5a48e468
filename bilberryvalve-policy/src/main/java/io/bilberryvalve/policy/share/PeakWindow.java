package io.bilberryvalve.policy.share;

import java.util.Arrays;

/**
 * The largest value of the last few seconds.
 */
final class PeakWindow {

	private static final int SECONDS = 6;

	private static final long MILLIS = 1000;

	private final int[] peaks = new int[SECONDS];

	private long second;

	void record(int value, long nowMillis) {
		advance(nowMillis);
		int bucket = (int) (this.second % SECONDS);
		this.peaks[bucket] = Math.max(this.peaks[bucket], value);
	}

	int peak(long nowMillis) {
		advance(nowMillis);
		return Arrays.stream(this.peaks).max().orElse(0);
	}

	private void advance(long nowMillis) {
		long now = nowMillis / MILLIS;
		for (long i = Math.max(this.second + 1, now - SECONDS + 1); i <= now; i++) {
			this.peaks[(int) (i % SECONDS)] = 0;
		}
		this.second = Math.max(this.second, now);
	}

}
