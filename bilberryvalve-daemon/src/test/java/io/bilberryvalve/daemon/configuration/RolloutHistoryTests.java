package io.bilberryvalve.daemon.configuration;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that {@link RolloutHistory} finds each kind of violation; a check that accepts
 * everything would make the simulations pass in any case.
 */
class RolloutHistoryTests {

	private final RolloutHistory history = new RolloutHistory();

	@Example
	void acceptsRisingVersions() {
		this.history.recordSent("s1");
		this.history.recordResult("s1", Result.ok(1L));
		this.history.recordStored("s1", 1);
		this.history.recordActivation("d1", 1, "x");
		this.history.recordActivation("d1", 2, "y");
		this.history.checkFinalVersion(2);
		assertThat(this.history.violation()).isNull();
	}

	@Example
	void rejectsReversal() {
		this.history.recordActivation("d1", 2, "y");
		this.history.recordActivation("d1", 1, "x");
		assertThat(this.history.violation()).contains("went back");
	}

	@Example
	void rejectsTwoContents() {
		this.history.recordActivation("d1", 1, "x");
		this.history.recordActivation("d2", 1, "y");
		assertThat(this.history.violation()).contains("two contents");
	}

	@Example
	void rejectsVersionPromisedTwice() {
		this.history.recordResult("s1", Result.ok(1L));
		this.history.recordResult("s2", Result.ok(1L));
		assertThat(this.history.violation()).contains("two submissions");
	}

	@Example
	void rejectsLostPromise() {
		this.history.recordResult("s1", Result.ok(1L));
		this.history.checkFinalVersion(0);
		assertThat(this.history.violation()).contains("promised and lost");
	}

	@Example
	void rejectsDeniedSubmissionThatTookEffect() {
		this.history.recordSent("s1");
		this.history.recordResult("s1", Result.failed(Problem.notRun(ProblemKind.CONFLICT, "", "")));
		this.history.recordStored("s1", 1);
		assertThat(this.history.violation()).contains("denied and stored");
	}

	@Example
	void rejectsVersionNobodySubmitted() {
		this.history.recordStored("s1", 1);
		assertThat(this.history.violation()).isNotNull();
	}

}
