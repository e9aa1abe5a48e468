package io.bilberryvalve.policy.share;

import java.util.Arrays;

/**
 * Sliding-window maximum of the last second, in four buckets of 250 ms. Not safe for use
 * by several threads.
 */
final class PeakWindow {

	private static final int BUCKETS = 4;

	private static final long BUCKET_MILLIS = 250;

	private final int[] peaks = new int[BUCKETS];

	private long bucket;

	void record(int value, long nowMillis) {
		advance(nowMillis);
		int index = (int) (this.bucket % BUCKETS);
		this.peaks[index] = Math.max(this.peaks[index], value);
	}

	int peak(long nowMillis) {
		advance(nowMillis);
		return Arrays.stream(this.peaks).max().orElse(0);
	}

	private void advance(long nowMillis) {
		long now = nowMillis / BUCKET_MILLIS;
		for (long i = Math.max(this.bucket + 1, now - BUCKETS + 1); i <= now; i++) {
			this.peaks[(int) (i % BUCKETS)] = 0;
		}
		this.bucket = Math.max(this.bucket, now);
	}

}
