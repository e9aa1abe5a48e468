package io.bilberryvalve.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Simulates a device that jobs share in proportion to their weights, by generalized
 * processor sharing in virtual time. It does no work and reads no clock.
 */
final class FairShareQueue {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PriorityQueue<Job> jobs = new PriorityQueue<>();

	private double virtual;

	private double weights;

	private long updatedNanos;

	private long sequence;

	/**
	 * Adds a job.
	 * @param seconds time that it needs if it has the device alone, in seconds
	 * @param weight its weight, positive
	 * @param done runs when the job is complete
	 * @param nowNanos present time in nanoseconds
	 * @return tasks of jobs that are complete by now
	 */
	synchronized List<Runnable> add(double seconds, double weight, Runnable done, long nowNanos) {
		List<Runnable> complete = advance(nowNanos);
		this.jobs.add(new Job(this.virtual + seconds / weight, this.sequence++, weight, done));
		this.weights += weight;
		return complete;
	}

	/**
	 * Advances to the present time.
	 * @param nowNanos present time in nanoseconds
	 * @return tasks of jobs that are complete by now, in the order of their completion
	 */
	synchronized List<Runnable> advance(long nowNanos) {
		List<Runnable> complete = new ArrayList<>();
		for (Job first = this.jobs.peek(); first != null && finishNanos(first) <= nowNanos; first = this.jobs.peek()) {
			this.updatedNanos = finishNanos(first);
			this.virtual = first.finish();
			this.weights -= first.weight();
			this.jobs.remove();
			complete.add(first.done());
		}
		if (this.jobs.isEmpty()) {
			this.virtual = 0;
			this.weights = 0;
		}
		else {
			this.virtual += (nowNanos - this.updatedNanos) / NANOS_PER_SECOND / this.weights;
		}
		this.updatedNanos = nowNanos;
		return complete;
	}

	/**
	 * Returns when the next job is complete.
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} without jobs
	 */
	synchronized long nextNanos() {
		Job first = this.jobs.peek();
		return (first != null) ? finishNanos(first) : Long.MAX_VALUE;
	}

	private long finishNanos(Job job) {
		double seconds = Math.max(0, job.finish() - this.virtual) * this.weights;
		return this.updatedNanos + (long) Math.ceil(seconds * NANOS_PER_SECOND);
	}

	private record Job(double finish, long sequence, double weight, Runnable done) implements Comparable<Job> {

		@Override
		public int compareTo(Job other) {
			int order = Double.compare(this.finish, other.finish);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
