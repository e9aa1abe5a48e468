package io.bilberryvalve.bench;

import java.util.List;

/**
 * Stands for a figure that no experiment measures yet, so that a full run names it.
 */
final class NotMeasured implements Experiment {

	private final String name;

	private final String reason;

	NotMeasured(String name, String reason) {
		this.name = name;
		this.reason = reason;
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public List<Figure> run(List<Long> seeds) {
		throw new UnsupportedOperationException(this.reason);
	}

}
