package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.bilberryvalve.daemon.lifecycle.Timer;

/**
 * A timer whose due tasks run when the test says so.
 */
final class ManualTimer implements Timer {

	private final Clock clock;

	private final List<Task> tasks = new ArrayList<>();

	ManualTimer(Clock clock) {
		this.clock = clock;
	}

	@Override
	public void after(Duration delay, Runnable task) {
		this.tasks.add(new Task(this.clock.instant().plus(delay), task));
	}

	void runDue() {
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
