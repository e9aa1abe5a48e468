package io.bilberryvalve.policy.rollout;

import java.util.List;
import java.util.OptionalLong;

/**
 * Decides whether a newly started daemon may serve.
 */
public final class StartupPolicy {

	private StartupPolicy() {
	}

	/**
	 * Decides after the store and the reachable peers were asked.
	 * @param inForce version in force at this daemon
	 * @param store version in the store, or nothing if the store did not answer
	 * @param peers versions of the peers that answered
	 * @return whether the daemon may serve: it has the version of the store or, in an
	 * outage, the highest version of its peers; a version 0 from a peer counts for
	 * nothing, because the peer may be starting as well
	 */
	public static boolean mayServe(long inForce, OptionalLong store, List<Long> peers) {
		long highest = peers.stream().mapToLong(Long::longValue).max().orElse(0);
		if (store.isPresent()) {
			return inForce >= Math.max(store.getAsLong(), highest);
		}
		return highest > 0 && inForce >= highest;
	}

}
