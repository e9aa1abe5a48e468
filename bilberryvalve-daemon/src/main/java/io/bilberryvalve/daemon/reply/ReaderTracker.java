package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tracks the readers of a reply, which are connected callers and polls of other entries,
 * and how far they have read. Not thread-safe; only tasks of the {@link SerialExecutor}
 * of the reply use it.
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
	 * Restarts the idle time. Called when the reply becomes readable, because time that
	 * the request spent in queues does not count as idle.
	 * @param now the current time
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

	void addPoll(int from, Instant now, CompletableFuture<ReplyLog> answer) {
		advance(from, now);
		this.lastPollAt = now;
		this.pendingPolls.add(answer);
	}

	void completePolls(ReplyLog log) {
		List<CompletableFuture<ReplyLog>> polls = List.copyOf(this.pendingPolls);
		this.pendingPolls.clear();
		polls.forEach((poll) -> poll.complete(log));
	}

	/**
	 * Returns the index up to which the fastest reader has read.
	 * @return the index of the next token that it reads
	 */
	int position() {
		return this.position;
	}

	/**
	 * Tells whether no caller is connected and no other entry has polled recently.
	 * @param timeout time after its last poll at which another entry counts as gone
	 * @param now the current time
	 * @return whether the reply has no reader
	 */
	boolean hasNoReaders(Duration timeout, Instant now) {
		return this.connections <= 0 && this.lastPollAt.isBefore(now.minus(timeout));
	}

	/**
	 * Tells whether the reply has no reader and has not been read for some time.
	 * @param timeout time without reading; also the time after which another entry counts
	 * as gone
	 * @param now the current time
	 * @return whether the reply is idle
	 */
	boolean isIdle(Duration timeout, Instant now) {
		return hasNoReaders(timeout, now) && this.lastReadAt.isBefore(now.minus(timeout));
	}

}
