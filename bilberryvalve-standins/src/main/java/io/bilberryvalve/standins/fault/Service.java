package io.bilberryvalve.standins.fault;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Services of the stand-ins that faults are injected into.
 */
public enum Service {

	/** Streams and steps of an engine. */
	@JsonProperty("streams")
	STREAMS("streams"),

	/** KV cache transfer of an engine. */
	@JsonProperty("kv")
	KV("kv"),

	/** Load report of an engine. */
	@JsonProperty("load")
	LOAD("load"),

	/** Cache events of an engine. */
	@JsonProperty("cache-events")
	CACHE_EVENTS("cache-events"),

	/** Orders to an engine. */
	@JsonProperty("orders")
	ORDERS("orders"),

	/** Operations of an application runner. */
	@JsonProperty("operations")
	OPERATIONS("operations"),

	/** Table service of the platform. */
	@JsonProperty("tables")
	TABLES("tables"),

	/** Object store of the platform. */
	@JsonProperty("objects")
	OBJECTS("objects"),

	/** Weight store of the platform. */
	@JsonProperty("weights")
	WEIGHTS("weights"),

	/** VM list of the platform. */
	@JsonProperty("vms")
	VMS("vms");

	private final String text;

	Service(String text) {
		this.text = text;
	}

	/**
	 * Returns the name used in fault documents.
	 * @return the name
	 */
	public String text() {
		return this.text;
	}

}
