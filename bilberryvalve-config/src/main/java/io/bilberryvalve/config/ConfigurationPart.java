package io.bilberryvalve.config;

/**
 * A part of the configuration, submitted as a whole.
 */
public sealed interface ConfigurationPart permits FederationPart, ClubPart {

	/** Name of the part that all clubs share. */
	String FEDERATION = "federation";

	/**
	 * Returns the name of the part.
	 * @return {@value #FEDERATION}, or the identifier of the club
	 */
	String name();

}
