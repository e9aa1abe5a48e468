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
		this.history.sent("s1");
		this.history.told("s1", Result.ok(1L));
		this.history.stored("s1", 1);
		this.history.inForce("d1", 1, "x");
		this.history.inForce("d1", 2, "y");
		this.history.end(2);
		assertThat(this.history.violation()).isNull();
	}

	@Example
	void rejectsReversal() {
		this.history.inForce("d1", 2, "y");
		this.history.inForce("d1", 1, "x");
		assertThat(this.history.violation()).contains("went back");
	}

	@Example
	void rejectsTwoContents() {
		this.history.inForce("d1", 1, "x");
		this.history.inForce("d2", 1, "y");
		assertThat(this.history.violation()).contains("two contents");
	}

	@Example
	void rejectsVersionPromisedTwice() {
		this.history.told("s1", Result.ok(1L));
		this.history.told("s2", Result.ok(1L));
		assertThat(this.history.violation()).contains("two submissions");
	}

	@Example
	void rejectsLostPromise() {
		this.history.told("s1", Result.ok(1L));
		this.history.end(0);
		assertThat(this.history.violation()).contains("promised and lost");
	}

	@Example
	void rejectsDeniedSubmissionThatTookEffect() {
		this.history.sent("s1");
		this.history.told("s1", Result.failed(Problem.notRun(ProblemKind.CONFLICT, "", "")));
		this.history.stored("s1", 1);
		assertThat(this.history.violation()).contains("denied and stored");
	}

	@Example
	void rejectsVersionNobodySubmitted() {
		this.history.stored("s1", 1);
		assertThat(this.history.violation()).isNotNull();
	}

}
