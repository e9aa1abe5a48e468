package io.bilberryvalve.standins.engine;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.http.StandinException;

/**
 * A failure of a stage of a chain.
 */
final class StageException extends StandinException {

	private static final long serialVersionUID = 1L;

	private final String runner;

	StageException(String runner, ProblemKind kind, String detail) {
		super(Problem.unknown(kind, detail, "continue with another chain in a new epoch"));
		this.runner = runner;
	}

	/**
	 * Returns the runner that failed.
	 * @return the runner
	 */
	String runner() {
		return this.runner;
	}

}
