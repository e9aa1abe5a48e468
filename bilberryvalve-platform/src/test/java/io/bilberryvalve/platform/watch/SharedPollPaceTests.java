package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class SharedPollPaceTests {

	private final AtomicInteger daemons = new AtomicInteger(37);

	private final AtomicBoolean asksOften = new AtomicBoolean();

	private final SharedPollPace pace = new SharedPollPace(new PollBudget(2, 2000), this.daemons::get,
			this.asksOften::get, Duration.ofSeconds(8), Duration.ofMillis(1400));

	// Guards against calls to the store that grow with the number of daemons.
	@Example
	void daemonThatHearsOfChangesAsksSeldom() {
		assertThat(this.pace.longestWait()).isEqualTo(Duration.ofSeconds(8));
		assertThat(this.pace.delayAfterChange()).isEqualTo(Duration.ofMillis(1400));
	}

	// Guards against changes that no daemon notices soon, such as when those that asked
	// often have gone.
	@Example
	void daemonThatTellsTheOthersAsksOften() {
		this.asksOften.set(true);
		assertThat(this.pace.longestWait()).isEqualTo(PollBudget.SHORTEST_WAIT);
		assertThat(this.pace.delayAfterChange()).isEqualTo(SharedPollPace.SHORT_DELAY);
	}

	@Example
	void waitOfTheBudgetIsKeptIfItIsLonger() {
		this.daemons.set(6000);
		assertThat(this.pace.longestWait()).isEqualTo(Duration.ofSeconds(12));
	}

}
