package io.bilberryvalve.daemon.peer;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.policy.retry.SilenceDetector;
import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.proto.Heartbeat;

/**
 * A connection with its heartbeats.
 */
final class PeerLink {

	private final PeerConnection connection;

	private final SilenceDetector detector;

	private final Clock clock;

	private final AtomicLong received = new AtomicLong();

	private final AtomicLong answered = new AtomicLong();

	private volatile long usedMillis;

	PeerLink(PeerConnection connection, Clock clock, Duration silence) {
		this.connection = connection;
		this.clock = clock;
		this.detector = new SilenceDetector(clock, silence);
		this.usedMillis = clock.millis();
	}

	PeerConnection connection() {
		return this.connection;
	}

	/**
	 * Records a heartbeat. Only the answer to a heartbeat of this side proves that the
	 * connection works in both directions.
	 * @param heartbeat the heartbeat
	 */
	void heard(Heartbeat heartbeat) {
		this.received.accumulateAndGet(heartbeat.getBeat(), Math::max);
		long before = this.answered.getAndAccumulate(heartbeat.getAnswered(), Math::max);
		if (heartbeat.getAnswered() > before) {
			this.detector.recordAnswer();
		}
	}

	long received() {
		return this.received.get();
	}

	boolean silent() {
		return this.detector.limitReached();
	}

	Duration silence() {
		return this.detector.silence();
	}

	void used() {
		this.usedMillis = this.clock.millis();
	}

	Duration unused() {
		return Duration.ofMillis(this.clock.millis() - this.usedMillis);
	}

}
