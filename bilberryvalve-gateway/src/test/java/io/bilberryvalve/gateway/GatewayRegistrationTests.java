package io.bilberryvalve.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.platform.memory.Fault;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.platform.watch.StoreEra;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class GatewayRegistrationTests {

	private final InMemoryTableService tables = new InMemoryTableService();

	private final StoreEra storeEra = new StoreEra();

	private final DelayedTasks timer = new DelayedTasks();

	private int registered;

	private void start(String vm) {
		new GatewayRegistration(vm, "10.0.0.1:7000", this.tables, this.storeEra, this.timer, new Random(vm.hashCode()),
				() -> this.registered++)
			.start();
	}

	private boolean isListed(String vm) {
		return this.tables.row(GatewayRegistration.TABLE, vm) != null;
	}

	// Guards against a gateway that the others never find because the store has lost its
	// row.
	@Example
	void rowIsWrittenAgainInANewEra() {
		InMemoryTableService.Copy empty = this.tables.copy();
		start("one");
		assertThat(isListed("one")).isTrue();
		this.tables.restore(empty);
		this.storeEra.observe(1);
		this.timer.runAll();
		assertThat(isListed("one")).isTrue();
		assertThat(this.registered).isEqualTo(2);
	}

	// Guards against a burst of writes when all gateways notice the new era at once.
	@Example
	void writesOfAFleetAreSpreadOverASecond() {
		for (int i = 0; i < 100; i++) {
			start("vm-" + i);
		}
		this.tables.restore(this.tables.copy());
		this.storeEra.observe(1);
		assertThat(this.timer.delays).hasSize(100).allMatch((delay) -> delay >= 0 && delay < 1000);
		assertThat(this.timer.delays.stream().filter((delay) -> delay < 500).count()).isBetween(25L, 75L);
	}

	// Guards against a write for each response, and against one in an era in which the
	// row was written already.
	@Example
	void rowIsWrittenOnceInAnEra() {
		this.tables.restore(this.tables.copy());
		start("one");
		this.storeEra.observe(1);
		this.storeEra.observe(1);
		this.timer.runAll();
		assertThat(this.tables.writeCount()).isEqualTo(1);
	}

	// Guards against a row that stays lost because its write in the new era failed.
	@Example
	void failedWriteInANewEraIsRepeated() {
		start("one");
		this.tables.restore(this.tables.copy());
		this.tables.writeFaults().enqueue(Fault.OUTAGE, Fault.LOSE_ANSWER);
		this.storeEra.observe(1);
		this.timer.runAll();
		assertThat(this.registered).isEqualTo(2);
	}

	/** Runs undelayed tasks at once and the others when it is told to. */
	private static final class DelayedTasks extends ScheduledThreadPoolExecutor {

		private final List<Runnable> tasks = new ArrayList<>();

		private final List<Long> delays = new ArrayList<>();

		DelayedTasks() {
			super(0);
		}

		@Override
		public void execute(Runnable task) {
			task.run();
		}

		@Override
		public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
			this.tasks.add(task);
			this.delays.add(unit.toMillis(delay));
			return super.schedule(() -> {
			}, Long.MAX_VALUE / 2, TimeUnit.NANOSECONDS);
		}

		private void runAll() {
			while (!this.tasks.isEmpty()) {
				this.tasks.remove(0).run();
			}
			shutdownNow();
		}

	}

}
