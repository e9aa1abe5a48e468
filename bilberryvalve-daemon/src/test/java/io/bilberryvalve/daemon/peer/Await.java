package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Waits for a condition that other threads fulfil, and fails the test after 20 s.
 */
final class Await {

	private static final Duration BOUND = Duration.ofSeconds(20);

	private static final long PAUSE_NANOS = 1_000_000;

	private Await() {
	}

	static void until(String condition, BooleanSupplier reached) {
		until(condition, reached, () -> {
		});
	}

	static void until(String condition, BooleanSupplier reached, Runnable step) {
		long end = System.nanoTime() + BOUND.toNanos();
		while (!reached.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new AssertionError("not reached within " + BOUND + ": " + condition);
			}
			step.run();
			LockSupport.parkNanos(PAUSE_NANOS);
		}
	}

}
