package io.bilberryvalve.standins.application;

import java.util.ArrayDeque;
import java.util.Queue;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ApplicationStandinTests {

	private final Queue<Runnable> pending = new ArrayDeque<>();

	// Guards against a runner that hides a double call from the test.
	@Example
	void countsEachExecutionOfAKey() {
		ApplicationStandin runner = new ApplicationStandin(false, this.pending::add);
		runner.execute("order", "k1");
		runner.execute("order", "k1");
		assertThat(runner.executions().executions()).isEmpty();
		this.pending.forEach(Runnable::run);
		assertThat(runner.executions().executions()).containsExactly(new ApplicationStandin.Count("order", "k1", 2));
	}

	// Guards against a deduplicating runner that executes a repetition that arrives
	// early.
	@Example
	void executesAKeyOnceIfItDeduplicates() {
		ApplicationStandin runner = new ApplicationStandin(true, this.pending::add);
		var first = runner.execute("order", "k1");
		var second = runner.execute("order", "k1");
		runner.execute("order", "k2");
		this.pending.forEach(Runnable::run);
		assertThat(second.join()).isEqualTo(first.join());
		assertThat(runner.executions().executions()).containsExactlyInAnyOrder(
				new ApplicationStandin.Count("order", "k1", 1), new ApplicationStandin.Count("order", "k2", 1));
	}

}
