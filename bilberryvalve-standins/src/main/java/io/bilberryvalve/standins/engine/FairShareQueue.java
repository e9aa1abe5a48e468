package io.bilberryvalve.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Simulates a device that executes jobs one after the other, in chunks, by self-clocked
 * fair queueing. Jobs of one chunk and equal weight leave in the order of their arrival,
 * so that the stages of a chain work at the same time; a long job does not delay others
 * for longer than a chunk. The queue does no work and reads no clock.
 */
final class FairShareQueue {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PriorityQueue<Chunk> waiting = new PriorityQueue<>();

	private @Nullable Chunk serving;

	private long endNanos;

	private long sequence;

	/**
	 * Adds a job.
	 * @param seconds time that it needs if it has the device alone, in seconds
	 * @param chunkSeconds longest time for which it has the device before others get a
	 * turn, in seconds
	 * @param weight its weight, positive
	 * @param done runs when the job is complete
	 * @param nowNanos present time in nanoseconds
	 * @return tasks of jobs that are complete by now
	 */
	synchronized List<Runnable> add(double seconds, double chunkSeconds, double weight, Runnable done, long nowNanos) {
		List<Runnable> complete = advance(nowNanos);
		Chunk present = this.serving;
		double virtual = (present != null) ? present.tag() : 0;
		this.waiting.add(chunk(new Job(weight, chunkSeconds, done), seconds, virtual));
		if (present == null) {
			serveNext(nowNanos);
		}
		return complete;
	}

	/**
	 * Advances to the present time.
	 * @param nowNanos present time in nanoseconds
	 * @return tasks of jobs that are complete by now, in the order of their completion
	 */
	synchronized List<Runnable> advance(long nowNanos) {
		List<Runnable> complete = new ArrayList<>();
		for (Chunk present = this.serving; present != null && this.endNanos <= nowNanos; present = this.serving) {
			if (present.rest() > 0) {
				this.waiting.add(chunk(present.job(), present.rest(), present.tag()));
			}
			else {
				complete.add(present.job().done());
			}
			// The next chunk begins at the end of this one, not when the timer fired, so
			// that late timers do not lower the rate.
			serveNext(this.endNanos);
		}
		return complete;
	}

	/**
	 * Returns when the present chunk ends.
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} without jobs
	 */
	synchronized long nextNanos() {
		return (this.serving != null) ? this.endNanos : Long.MAX_VALUE;
	}

	private void serveNext(long startNanos) {
		this.serving = this.waiting.poll();
		if (this.serving != null) {
			this.endNanos = startNanos + (long) Math.ceil(this.serving.seconds() * NANOS_PER_SECOND);
		}
	}

	private Chunk chunk(Job job, double seconds, double virtual) {
		double now = Math.min(seconds, job.chunkSeconds());
		return new Chunk(job, now, seconds - now, virtual + now / job.weight(), this.sequence++);
	}

	private record Job(double weight, double chunkSeconds, Runnable done) {

	}

	private record Chunk(Job job, double seconds, double rest, double tag, long sequence) implements Comparable<Chunk> {

		@Override
		public int compareTo(Chunk other) {
			int order = Double.compare(this.tag, other.tag);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
