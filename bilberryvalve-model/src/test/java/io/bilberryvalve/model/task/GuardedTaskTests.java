package io.bilberryvalve.model.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class GuardedTaskTests {

	private final Logger logger = Logger.getLogger(GuardedTask.class.getName());

	private final Recorder recorder = new Recorder();

	// Guards against a periodic task that its scheduler never runs again.
	@Example
	void taskThatThrowsReturnsNormally() {
		logging(() -> new GuardedTask("check", () -> {
			throw new IllegalStateException("bad row");
		}).run());
		assertThat(this.recorder.lines).singleElement()
			.asString()
			.startsWith(
					"event=task-failed task=check failures=1 cause=\"java.lang.IllegalStateException: bad row\" at=");
	}

	@Example
	void stackOverflowIsCaught() {
		logging(() -> new GuardedTask("recurse", GuardedTaskTests::recurse).run());
		assertThat(this.recorder.lines).singleElement().asString().contains("StackOverflowError");
	}

	// Guards against thousands of log lines from a task that always fails.
	@Example
	void repeatedFailuresAreLoggedRarely() {
		GuardedTask task = new GuardedTask("check", () -> {
			throw new IllegalStateException();
		});
		logging(() -> {
			for (int i = 0; i < 1000; i++) {
				task.run();
			}
		});
		assertThat(this.recorder.lines).hasSize(10).last().asString().contains("failures=512");
	}

	@Example
	void repeatedTaskRunsAgainAfterItHasThrown() throws InterruptedException {
		ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
		CountDownLatch runs = new CountDownLatch(3);
		try {
			GuardedTask.repeat(scheduler, "check", () -> {
				runs.countDown();
				throw new IllegalStateException();
			}, Duration.ofMillis(1));
			assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
		}
		finally {
			scheduler.shutdownNow();
		}
	}

	private static void recurse() {
		recurse();
	}

	private void logging(Runnable action) {
		this.logger.addHandler(this.recorder);
		this.logger.setUseParentHandlers(false);
		try {
			action.run();
		}
		finally {
			this.logger.removeHandler(this.recorder);
			this.logger.setUseParentHandlers(true);
		}
	}

	private static final class Recorder extends Handler {

		private final List<String> lines = new ArrayList<>();

		@Override
		public void publish(LogRecord line) {
			this.lines.add(line.getMessage());
		}

		@Override
		public void flush() {
		}

		@Override
		public void close() {
		}

	}

}
