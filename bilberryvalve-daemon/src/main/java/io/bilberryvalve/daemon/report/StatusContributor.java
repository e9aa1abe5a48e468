package io.bilberryvalve.daemon.report;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Adds the state of the daemon's parts to the status document.
 */
@FunctionalInterface
public interface StatusContributor {

	/**
	 * Adds fields.
	 * @param node the status document
	 */
	void addTo(ObjectNode node);

}
