package io.bilberryvalve.policy.rollout;

/**
 * Version of the configuration in force. It only increases. An instance is not safe for
 * use by several threads.
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
	 * @return the digest, empty for the empty configuration
	 */
	public String digest() {
		return this.digest;
	}

	/**
	 * Offers a configuration.
	 * @param next its version
	 * @param nextDigest its digest
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
	 * Decision about a configuration.
	 */
	public enum Decision {

		/** It is newer and now in force. */
		ADOPTED,

		/** It is in force already. */
		SAME,

		/** A newer one is in force. */
		OLDER,

		/**
		 * It has the version in force and other content, which a correct store excludes.
		 */
		DIVERGENT

	}

}
