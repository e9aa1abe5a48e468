package io.bilberryvalve.standins.engine;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.http.StandinException;

/**
 * Streams that an engine knows.
 */
final class StreamTable {

	private final Clock clock;

	private final Duration retention;

	private final ConcurrentMap<String, StreamState> streams = new ConcurrentHashMap<>();

	StreamTable(Clock clock, Duration retention) {
		this.clock = clock;
		this.retention = retention;
	}

	/**
	 * Returns a stream and creates it if it is not known.
	 * @param stream the stream
	 * @return its state
	 */
	StreamState use(String stream) {
		StreamState state = this.streams.computeIfAbsent(stream, (key) -> new StreamState(key, this.clock.instant()));
		state.use(this.clock.instant());
		return state;
	}

	/**
	 * Returns a known stream.
	 * @param stream the stream
	 * @return its state
	 * @throws StandinException if it is not known
	 */
	StreamState find(String stream) {
		StreamState state = this.streams.get(stream);
		if (state == null) {
			throw StandinException.refused(ProblemKind.NOT_FOUND, "stream " + stream + " is not known",
					"start it; streams are kept for " + this.retention.toSeconds() + " s");
		}
		state.use(this.clock.instant());
		return state;
	}

	Collection<StreamState> all() {
		return this.streams.values();
	}

	/**
	 * Counts the streams that were used lately.
	 * @param within how lately
	 * @return the number of streams
	 */
	int active(Duration within) {
		Instant since = this.clock.instant().minus(within);
		return (int) this.streams.values().stream().filter((state) -> state.used().isAfter(since)).count();
	}

	/**
	 * Removes the streams that were not used for the retention time.
	 */
	void sweep() {
		Instant before = this.clock.instant().minus(this.retention);
		this.streams.values().removeIf((state) -> state.used().isBefore(before));
	}

}
