package io.bilberryvalve.gateway.peer;

import java.util.Map;
import java.util.Set;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.path.RunnerLoad;

/**
 * Digest of a delegate, without what it contains of this daemon.
 *
 * @param vm name of the VM of the delegate
 * @param incarnation number of its start
 * @param sequence number of the message
 * @param dataCentre data centre of the delegate
 * @param ownDataCentreOnly whether only daemons of this data centre are contained
 * @param load requests of the contained daemons, by identifier of the runner or link
 * @param contained names of the VMs of the delegate's data centre that are contained
 * @param otherDataCentres other data centres that are contained
 * @param lost runners that the contained daemons found lost
 * @param changing runners that the contained daemons ordered to drop layers
 * @param configuration newest configuration of the contained daemons, 0 for none
 * @param runnerList latest change of the list of runners that a contained daemon knows
 * @param receivedMillis time of its arrival in milliseconds
 */
record ReceivedDigest(String vm, long incarnation, long sequence, DataCentreId dataCentre, boolean ownDataCentreOnly,
		Map<RunnerId, RunnerLoad> load, Set<String> contained, Set<DataCentreId> otherDataCentres, Set<RunnerId> lost,
		Set<RunnerId> changing, long configuration, StoreVersion runnerList, long receivedMillis) {

	/**
	 * Returns how much the digest contains.
	 * @return its number of other data centres and of daemons
	 */
	Width width() {
		return new Width(this.otherDataCentres.size(), this.contained.size());
	}

	/**
	 * Returns the name of the digest's source in reports on runners.
	 * @return a name that differs from those of VMs
	 */
	String source() {
		return (this.ownDataCentreOnly ? "digest-of-data-centre/" : "digest/") + this.vm;
	}

	/**
	 * How many daemons a sum of loads contains. A delegate that has just taken over knows
	 * few daemons for a moment.
	 *
	 * @param otherDataCentres number of other data centres
	 * @param daemons number of daemons of the own data centre
	 */
	record Width(int otherDataCentres, int daemons) implements Comparable<Width> {

		@Override
		public int compareTo(Width other) {
			int byDataCentres = Integer.compare(this.otherDataCentres, other.otherDataCentres);
			return (byDataCentres != 0) ? byDataCentres : Integer.compare(this.daemons, other.daemons);
		}

	}

}
