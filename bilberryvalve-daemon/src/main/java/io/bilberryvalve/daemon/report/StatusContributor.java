package io.bilberryvalve.daemon.report;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Adds fields to the status document of {@code /v1/status}.
 */
@FunctionalInterface
public interface StatusContributor {

	/**
	 * Adds fields with the current state. Called for each request.
	 * @param node the status document, to be modified
	 */
	void addTo(ObjectNode node);

}
