package io.bilberryvalve.daemon.peer;

import java.time.Clock;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.wire.PeerConnection;

/**
 * Opens connections to other daemons, with jittered exponential backoff for each address:
 * the delay doubles from 100 ms to at most 5 s, and the actual delay is drawn at random
 * from its upper half.
 */
final class PeerDialer {

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

	private static final int MAX_DOUBLINGS = 6;

	private final Clock clock;

	private final RandomGenerator random;

	private final Function<Address, CompletionStage<PeerConnection>> connect;

	private final ConcurrentHashMap<Address, Attempt> attempts = new ConcurrentHashMap<>();

	PeerDialer(Clock clock, RandomGenerator random, Function<Address, CompletionStage<PeerConnection>> connect) {
		this.clock = clock;
		this.random = random;
		this.connect = connect;
	}

	/**
	 * Starts to connect to the addresses whose backoff has passed. Called by one thread
	 * only.
	 * @param targets all addresses to which a connection is wanted and missing; the
	 * backoff of any other address is reset
	 */
	void dial(Collection<Address> targets) {
		this.attempts.keySet().retainAll(targets);
		for (Address target : targets) {
			Attempt attempt = this.attempts.get(target);
			if (attempt == null || (!attempt.running() && this.clock.millis() >= attempt.notBeforeMillis())) {
				start(target, (attempt != null) ? attempt.failures() : 0);
			}
		}
	}

	private void start(Address target, int failures) {
		this.attempts.put(target, new Attempt(true, 0, failures));
		this.connect.apply(target).whenComplete((connection, failure) -> {
			if (failure == null) {
				this.attempts.remove(target);
			}
			else {
				this.attempts.put(target,
						new Attempt(false, this.clock.millis() + backoffMillis(failures), failures + 1));
			}
		});
	}

	private long backoffMillis(int failures) {
		long full = INITIAL_BACKOFF.toMillis() << Math.min(failures, MAX_DOUBLINGS);
		long bounded = Math.min(full, MAX_BACKOFF.toMillis());
		return bounded / 2 + this.random.nextLong(bounded / 2 + 1);
	}

	private record Attempt(boolean running, long notBeforeMillis, int failures) {

	}

}
