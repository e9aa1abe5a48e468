package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Who reads a reply and how far. Used by the tasks of the reply's mailbox only.
 */
final class ReplyReaders {

	private final List<CompletableFuture<ReplyLog>> waiters = new ArrayList<>();

	private int count;

	private int position;

	private Instant lastRead;

	private Instant lastPoll = Instant.MIN;

	ReplyReaders(Instant now) {
		this.lastRead = now;
	}

	/**
	 * The reply can be read from now on; time spent in queues does not count as absence.
	 * @param now the time
	 */
	void expect(Instant now) {
		this.lastRead = now;
	}

	void join(Instant now) {
		this.count++;
		this.lastRead = now;
	}

	void leave() {
		this.count--;
	}

	void read(int next, Instant now) {
		this.position = Math.max(this.position, next);
		this.lastRead = now;
	}

	void poll(int from, Instant now, CompletableFuture<ReplyLog> waiter) {
		read(from, now);
		this.lastPoll = now;
		this.waiters.add(waiter);
	}

	void answer(ReplyLog log) {
		List<CompletableFuture<ReplyLog>> answered = List.copyOf(this.waiters);
		this.waiters.clear();
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
	boolean closed(Duration absence, Instant now) {
		return this.count <= 0 && this.lastPoll.isBefore(now.minus(absence));
	}

	/**
	 * Tells whether nobody has read for some time.
	 * @param absence the time
	 * @param now the time
	 * @return whether nobody reads
	 */
	boolean absent(Duration absence, Instant now) {
		return closed(absence, now) && this.lastRead.isBefore(now.minus(absence));
	}

}
