package io.bilberryvalve.daemon.call;

import io.bilberryvalve.policy.once.ExecutionAnswer;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that {@link CallHistory} finds each kind of violation; a check that accepts
 * everything would make the simulations pass in any case.
 */
class CallHistoryTests {

	private final CallHistory history = new CallHistory();

	CallHistoryTests() {
		this.history.recordSent(1, "k", "a");
		this.history.recordSent(2, "k", "a");
		this.history.recordSent(3, "other", "a");
	}

	@Example
	void acceptsRepeatedResult() {
		this.history.recordExecution(1);
		this.history.recordAnswer(1, new ExecutionAnswer.Lost());
		this.history.recordAnswer(2, new ExecutionAnswer.Completed(CallHistory.result(1), true));
		assertThat(this.history.violation()).isNull();
	}

	@Example
	void rejectsSecondExecutionOfKey() {
		this.history.recordExecution(1);
		this.history.recordExecution(2);
		assertThat(this.history.violation()).contains("executed twice");
	}

	@Example
	void rejectsExecutionAfterNotRun() {
		this.history.recordAnswer(1, new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.DEADLINE));
		this.history.recordExecution(1);
		assertThat(this.history.violation()).contains("was told");
	}

	@Example
	void rejectsExecutionOfReusedKey() {
		this.history.recordExecution(1);
		this.history.recordAnswer(1, new ExecutionAnswer.KeyReused());
		assertThat(this.history.violation()).contains("was told");
	}

	@Example
	void rejectsResultOfAnotherKey() {
		this.history.recordExecution(3);
		this.history.recordAnswer(1, new ExecutionAnswer.Completed(CallHistory.result(3), true));
		assertThat(this.history.violation()).contains("another request");
	}

	@Example
	void rejectsTwoAnswers() {
		this.history.recordAnswer(1, new ExecutionAnswer.Lost());
		this.history.recordAnswer(1, new ExecutionAnswer.Lost());
		assertThat(this.history.violation()).contains("answered twice");
	}

}
