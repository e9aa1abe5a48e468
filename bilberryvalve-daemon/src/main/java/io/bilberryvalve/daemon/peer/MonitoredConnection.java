package io.bilberryvalve.daemon.peer;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.policy.retry.SilenceDetector;
import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.proto.Heartbeat;

/**
 * Monitors the heartbeats and the use of one connection to a peer. Safe for use by
 * several threads.
 */
final class MonitoredConnection {

	private final PeerConnection connection;

	private final SilenceDetector detector;

	private final Clock clock;

	private final AtomicLong received = new AtomicLong();

	private final AtomicLong answered = new AtomicLong();

	private volatile long usedMillis;

	MonitoredConnection(PeerConnection connection, Clock clock, Duration silence) {
		this.connection = connection;
		this.clock = clock;
		this.detector = new SilenceDetector(clock, silence);
		this.usedMillis = clock.millis();
	}

	PeerConnection connection() {
		return this.connection;
	}

	/**
	 * Records a heartbeat of the peer. Each heartbeat also answers the last one received
	 * from this side. Only such an answer ends a silence, because it proves that the
	 * connection works in both directions.
	 * @param heartbeat heartbeat with its number and the number that it answers
	 */
	void recordHeartbeat(Heartbeat heartbeat) {
		this.received.accumulateAndGet(heartbeat.getBeat(), Math::max);
		long before = this.answered.getAndAccumulate(heartbeat.getAnswered(), Math::max);
		if (heartbeat.getAnswered() > before) {
			this.detector.recordAnswer();
		}
	}

	long lastReceivedBeat() {
		return this.received.get();
	}

	boolean isSilent() {
		return this.detector.limitReached();
	}

	Duration silence() {
		return this.detector.silence();
	}

	void recordUse() {
		this.usedMillis = this.clock.millis();
	}

	Duration idleTime() {
		return Duration.ofMillis(this.clock.millis() - this.usedMillis);
	}

}
