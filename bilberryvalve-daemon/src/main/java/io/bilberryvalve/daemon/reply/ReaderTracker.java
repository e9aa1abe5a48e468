package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Who reads a reply and how far. Used by the tasks of the reply's mailbox only.
 */
final class ReaderTracker {

	private final List<CompletableFuture<ReplyLog>> pendingPolls = new ArrayList<>();

	private int connections;

	private int position;

	private Instant lastReadAt;

	private Instant lastPollAt = Instant.MIN;

	ReaderTracker(Instant now) {
		this.lastReadAt = now;
	}

	/**
	 * The reply can be read from now on; time spent in queues does not count as absence.
	 * @param now the time
	 */
	void startIdleTimer(Instant now) {
		this.lastReadAt = now;
	}

	void attach(Instant now) {
		this.connections++;
		this.lastReadAt = now;
	}

	void detach() {
		this.connections--;
	}

	void advance(int next, Instant now) {
		this.position = Math.max(this.position, next);
		this.lastReadAt = now;
	}

	void addPoll(int from, Instant now, CompletableFuture<ReplyLog> waiter) {
		advance(from, now);
		this.lastPollAt = now;
		this.pendingPolls.add(waiter);
	}

	void completePolls(ReplyLog log) {
		List<CompletableFuture<ReplyLog>> answered = List.copyOf(this.pendingPolls);
		this.pendingPolls.clear();
		answered.forEach((waiter) -> waiter.complete(log));
	}

	/**
	 * Returns the index up to which the fastest reader has read.
	 * @return the index of the next token that it reads
	 */
	int position() {
		return this.position;
	}

	/**
	 * Tells whether the last connection has closed and no other entry reads.
	 * @param absence time after its last call at which another entry is gone
	 * @param now the time
	 * @return whether nobody reads
	 */
	boolean hasNoReaders(Duration absence, Instant now) {
		return this.connections <= 0 && this.lastPollAt.isBefore(now.minus(absence));
	}

	/**
	 * Tells whether nobody has read for some time.
	 * @param absence the time
	 * @param now the time
	 * @return whether nobody reads
	 */
	boolean isIdle(Duration absence, Instant now) {
		return hasNoReaders(absence, now) && this.lastReadAt.isBefore(now.minus(absence));
	}

}
