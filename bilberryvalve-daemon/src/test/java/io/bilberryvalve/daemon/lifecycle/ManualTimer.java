package io.bilberryvalve.daemon.lifecycle;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Timer for tests. Its tasks run only when the test calls {@link #runDue()}.
 */
public final class ManualTimer implements Timer {

	private final Clock clock;

	private final List<Task> tasks = new ArrayList<>();

	/**
	 * Creates a timer without tasks.
	 * @param clock manual clock of the test, which decides when a task is due
	 */
	public ManualTimer(Clock clock) {
		this.clock = clock;
	}

	@Override
	public void schedule(Duration delay, Runnable task) {
		this.tasks.add(new Task(this.clock.instant().plus(delay), task));
	}

	/**
	 * Runs the tasks that are due, in the order of their times.
	 */
	public void runDue() {
		List<Task> due = this.tasks.stream()
			.filter((task) -> !task.at().isAfter(this.clock.instant()))
			.sorted(Comparator.comparing(Task::at))
			.toList();
		this.tasks.removeAll(due);
		due.forEach((task) -> task.run().run());
	}

	private record Task(Instant at, Runnable run) {

	}

}
