package io.bilberryvalve.policy.rollout;

/**
 * Holds the version and the digest of the configuration in force at this daemon. The
 * version only increases. An instance is not safe for use by several threads.
 */
public final class ConfigurationRegister {

	private long version;

	private String digest = "";

	/**
	 * Returns the version in force.
	 * @return the version, 0 for the empty configuration
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the digest of the configuration in force.
	 * @return digest of the content, empty for the empty configuration
	 */
	public String digest() {
		return this.digest;
	}

	/**
	 * Offers a configuration, which comes into force if it is newer.
	 * @param next version of the offered configuration
	 * @param nextDigest digest of the offered configuration
	 * @return the decision; only {@link Decision#ADOPTED} changes the register
	 */
	public Decision offer(long next, String nextDigest) {
		if (next > this.version) {
			this.version = next;
			this.digest = nextDigest;
			return Decision.ADOPTED;
		}
		if (next < this.version) {
			return Decision.OLDER;
		}
		return nextDigest.equals(this.digest) ? Decision.SAME : Decision.DIVERGENT;
	}

	/**
	 * Decision about an offered configuration.
	 */
	public enum Decision {

		/** The configuration is newer and is now in force. */
		ADOPTED,

		/** The configuration is already in force. */
		SAME,

		/** A newer configuration is in force. */
		OLDER,

		/**
		 * The configuration has the version in force but other content. This cannot
		 * happen while the store works correctly.
		 */
		DIVERGENT

	}

}
