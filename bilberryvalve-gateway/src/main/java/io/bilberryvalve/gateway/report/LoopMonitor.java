package io.bilberryvalve.gateway.report;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
import io.bilberryvalve.policy.overload.Backlog;

/**
 * Measures by how much the tasks of event loops run late. All I/O of a loop waits behind
 * the same backlog as a timer, so the delay shows whether an answer was late on the
 * network or in this process.
 */
public final class LoopMonitor {

	private static final System.Logger LOGGER = System.getLogger(LoopMonitor.class.getName());

	private static final long PERIOD_MILLIS = 100;

	/** Delay that is logged; above what garbage collection and task switches cause. */
	private static final long LATE_MILLIS = 250;

	private static final double MILLIS_PER_SECOND = 1000;

	private final Clock clock;

	private final Map<ScheduledExecutorService, Backlog> backlogs = new ConcurrentHashMap<>();

	/** Largest delay in milliseconds since the last scrape of the metric. */
	private final AtomicLong largest = new AtomicLong();

	/**
	 * Creates a monitor without loops.
	 * @param clock monotonic clock
	 */
	public LoopMonitor(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Starts to measure.
	 * @param loops the loops, which are named by their position in the log
	 * @param metrics receives the gauge of the largest delay since the last scrape
	 */
	public void start(List<? extends ScheduledExecutorService> loops, Metrics metrics) {
		metrics.addGauge("bilberryvalve_event_loop_delay_seconds",
				"Largest delay of a task on an event loop since the last scrape",
				() -> this.largest.getAndSet(0) / MILLIS_PER_SECOND);
		for (int i = 0; i < loops.size(); i++) {
			schedule(i, loops.get(i));
		}
	}

	/**
	 * Returns the backlog of a loop.
	 * @param loop the loop
	 * @return its backlog, which is empty until the loop is measured
	 */
	public Backlog backlog(ScheduledExecutorService loop) {
		return this.backlogs.computeIfAbsent(loop, (key) -> new Backlog());
	}

	private void schedule(int number, ScheduledExecutorService loop) {
		long due = this.clock.millis() + PERIOD_MILLIS;
		loop.schedule(() -> {
			long delay = this.clock.millis() - due;
			backlog(loop).record(delay);
			new GuardedTask("record-loop-delay", () -> record(number, delay)).run();
			schedule(number, loop);
		}, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void record(int number, long delay) {
		this.largest.accumulateAndGet(delay, Math::max);
		if (delay >= LATE_MILLIS) {
			LogEvent.of("event-loop-late")
				.with("loop", number)
				.with("millis", delay)
				.log(LOGGER, System.Logger.Level.WARNING);
		}
	}

}
