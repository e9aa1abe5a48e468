package io.bilberryvalve.daemon.order;

import java.time.Instant;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that {@link OrderHistory} finds each kind of violation; a check that accepts
 * everything would make the simulations pass in any case.
 */
class OrderHistoryTests {

	private final OrderHistory history = new OrderHistory();

	@Example
	void acceptsSuccession() {
		this.history.recordAction(Instant.EPOCH, "a", 1);
		this.history.recordAction(Instant.EPOCH, "a", 1);
		this.history.recordAction(Instant.EPOCH, "b", 2);
		this.history.recordExecution("e", 1);
		this.history.recordExecution("e", 2);
		assertThat(this.history.violation()).isNull();
	}

	@Example
	void rejectsTwoHoldersAtOnce() {
		this.history.recordAction(Instant.EPOCH, "a", 1);
		this.history.recordAction(Instant.EPOCH, "b", 2);
		this.history.recordAction(Instant.EPOCH, "a", 1);
		assertThat(this.history.violation()).contains("a acted with 1");
	}

	@Example
	void rejectsNumberGrantedTwice() {
		this.history.recordAction(Instant.EPOCH, "a", 1);
		this.history.recordAction(Instant.EPOCH, "b", 1);
		assertThat(this.history.violation()).contains("was granted to b");
	}

	@Example
	void rejectsOldOrderAfterNewOne() {
		this.history.recordExecution("e", 2);
		this.history.recordExecution("e", 1);
		assertThat(this.history.violation()).contains("after one with 2");
	}

}
