package io.bilberryvalve.config;

import java.util.List;

/**
 * Result of a check of the whole configuration.
 *
 * @param findings what is wrong, empty for an acceptable configuration
 */
public record CheckReport(List<Finding> findings) {

	/**
	 * Copies the findings.
	 */
	public CheckReport {
		findings = List.copyOf(findings);
	}

	/**
	 * Tells whether the configuration can be put in force.
	 * @return whether there are no findings
	 */
	public boolean accepted() {
		return this.findings.isEmpty();
	}

	/**
	 * Returns the findings as text.
	 * @return one line for each finding, empty for an acceptable configuration
	 */
	public String text() {
		return String.join("\n", this.findings.stream().map(Finding::toString).toList());
	}

}
