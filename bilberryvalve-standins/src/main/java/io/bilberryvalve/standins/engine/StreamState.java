package io.bilberryvalve.standins.engine;

import java.time.Instant;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.http.StandinException;
import org.jspecify.annotations.Nullable;

/**
 * What an engine keeps for a stream: the present epoch, the cancelled epochs, the KV data
 * and, at the first runner of the chain, the reply.
 */
final class StreamState {

	private final String stream;

	private int cancelled;

	private @Nullable StreamRequest request;

	private int nextIndex;

	private @Nullable KvData kv;

	private @Nullable ReplyStream reply;

	private Instant used;

	StreamState(String stream, Instant now) {
		this.stream = stream;
		this.used = now;
	}

	/**
	 * Starts an epoch. It replaces all earlier ones.
	 * @param opened the request
	 * @param layers layers of this stage
	 * @param cached positions in the prefix cache
	 * @return number of leading positions whose KV data is present
	 * @throws StandinException if the epoch is cancelled or not newer than the present
	 * one
	 */
	synchronized int open(StreamRequest opened, LayerRange layers, int cached) {
		int present = (this.request != null) ? this.request.epoch() : 0;
		if (opened.epoch() <= Math.max(this.cancelled, present)) {
			throw stale(opened.epoch());
		}
		this.request = opened;
		this.nextIndex = opened.from();
		int needed = opened.promptTokens() + opened.from() - 1;
		KvData data = this.kv;
		int kept = (data != null && data.covers(opened, layers)) ? data.positions() : 0;
		int positions = Math.min(needed, Math.max(kept, cached));
		this.kv = KvData.of(opened, layers, positions);
		return positions;
	}

	/**
	 * Accepts a step for execution. Each index is accepted once.
	 * @param step the step
	 * @return the request of the epoch
	 * @throws StandinException if the epoch is cancelled or replaced, the index is not
	 * the next one or KV data is missing
	 */
	synchronized StreamRequest accept(Step step) {
		StreamRequest opened = check(step.epoch());
		int positions = (this.kv != null) ? this.kv.positions() : 0;
		if (step.index() != this.nextIndex || step.start() > positions) {
			throw StandinException.refused(
					ProblemKind.CONFLICT, "index " + step.index() + " at position " + step.start()
							+ " does not follow index " + (this.nextIndex - 1) + " with " + positions + " positions",
					"open a new epoch");
		}
		this.nextIndex++;
		return opened;
	}

	/**
	 * Records the KV data of an executed step.
	 * @param step the step
	 * @param layers layers of this stage
	 * @throws StandinException if the epoch was cancelled or replaced during the
	 * execution
	 */
	synchronized void executed(Step step, LayerRange layers) {
		this.kv = KvData.of(check(step.epoch()), layers, step.end());
	}

	/**
	 * Cancels epochs.
	 * @param upTo the last epoch to cancel
	 * @return the reply of a cancelled epoch, or {@code null} if there is none
	 */
	synchronized @Nullable ReplyStream cancel(int upTo) {
		this.cancelled = Math.max(this.cancelled, upTo);
		ReplyStream present = this.reply;
		return (present != null && present.request().epoch() <= upTo) ? present : null;
	}

	/**
	 * Tells whether an epoch still runs.
	 * @param epoch the epoch
	 * @throws StandinException if it is cancelled or replaced
	 */
	synchronized void checkRunning(int epoch) {
		check(epoch);
	}

	/**
	 * Replaces the KV data by imported data.
	 * @param data the data
	 * @param epoch epoch that the import is for
	 * @throws StandinException if the epoch is cancelled
	 */
	synchronized void importKv(KvData data, int epoch) {
		if (epoch <= this.cancelled) {
			throw stale(epoch);
		}
		this.kv = data;
	}

	synchronized @Nullable KvData kv() {
		return this.kv;
	}

	synchronized @Nullable ReplyStream reply() {
		return this.reply;
	}

	synchronized void reply(ReplyStream started) {
		this.reply = started;
	}

	synchronized void use(Instant now) {
		this.used = now;
	}

	synchronized Instant used() {
		return this.used;
	}

	private StreamRequest check(int epoch) {
		StreamRequest present = this.request;
		if (present == null) {
			throw StandinException.refused(ProblemKind.CONFLICT, "stream " + this.stream + " has no open epoch",
					"open a new epoch");
		}
		if (epoch <= this.cancelled || epoch != present.epoch()) {
			throw stale(epoch);
		}
		return present;
	}

	private StandinException stale(int epoch) {
		int present = (this.request != null) ? this.request.epoch() : 0;
		return StandinException.refused(
				ProblemKind.CONFLICT, "epoch " + epoch + " of stream " + this.stream
						+ " is refused; epochs are cancelled up to " + this.cancelled + " and the last is " + present,
				"use a higher epoch");
	}

}
