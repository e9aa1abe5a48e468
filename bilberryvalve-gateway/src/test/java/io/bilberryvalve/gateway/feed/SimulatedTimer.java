package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.clock.ManualClock;

/**
 * Scheduler on simulated time: runs its tasks, in the order of their times, while
 * {@link #advance} advances its clock. It starts no thread.
 */
final class SimulatedTimer extends ScheduledThreadPoolExecutor {

	private final ManualClock clock = new ManualClock();

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private long submitted;

	SimulatedTimer() {
		super(0);
	}

	ManualClock clock() {
		return this.clock;
	}

	@Override
	public void execute(Runnable task) {
		schedule(task, 0, TimeUnit.MILLISECONDS);
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
		Task task = new Task(command, this.clock.millis() + unit.toMillis(delay), this.submitted++);
		this.tasks.add(task);
		return task;
	}

	@Override
	public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
		throw new UnsupportedOperationException("tasks without a result only");
	}

	void advance(Duration time) {
		long end = this.clock.millis() + time.toMillis();
		while (!this.tasks.isEmpty() && this.tasks.peek().at <= end) {
			Task task = this.tasks.remove();
			this.clock.advance(Duration.ofMillis(task.at - this.clock.millis()));
			task.run();
		}
		this.clock.advance(Duration.ofMillis(end - this.clock.millis()));
	}

	private final class Task extends FutureTask<Void> implements ScheduledFuture<Void> {

		private final long at;

		private final long number;

		Task(Runnable command, long at, long number) {
			super(command, null);
			this.at = at;
			this.number = number;
		}

		@Override
		public long getDelay(TimeUnit unit) {
			return unit.convert(this.at - SimulatedTimer.this.clock.millis(), TimeUnit.MILLISECONDS);
		}

		@Override
		public int compareTo(Delayed other) {
			Task task = (Task) other;
			return (this.at != task.at) ? Long.compare(this.at, task.at) : Long.compare(this.number, task.number);
		}

	}

}
