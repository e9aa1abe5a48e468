package io.bilberryvalve.daemon.peer;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
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

	private final AtomicInteger callsInProgress = new AtomicInteger();

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

	/**
	 * Records the start of a call in either direction. The connection is in use until
	 * {@link #endCall()}.
	 */
	void startCall() {
		this.callsInProgress.incrementAndGet();
	}

	void endCall() {
		this.usedMillis = this.clock.millis();
		this.callsInProgress.decrementAndGet();
	}

	/**
	 * Returns the time since the last call on the connection ended.
	 * @return the time, zero while a call is in progress
	 */
	Duration idleTime() {
		return (this.callsInProgress.get() > 0) ? Duration.ZERO
				: Duration.ofMillis(this.clock.millis() - this.usedMillis);
	}

}
