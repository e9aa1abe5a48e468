package io.bilberryvalve.gateway.peer;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.platform.watch.StoreVersion;

/**
 * What has to be sent before the next period: an order to send the own state, and at a
 * delegate what it has heard and not passed on yet. Confined to one thread.
 */
final class UrgentNews {

	/** Least time between two messages with urgent news. */
	static final long INTERVAL_MILLIS = 50;

	private Set<RunnerId> passedRunners = Set.of();

	private long passedConfiguration;

	private StoreVersion passedRunnerList = StoreVersion.NONE;

	private final Set<String> changedPeers = new HashSet<>();

	private final Set<String> newcomers = new HashSet<>();

	private boolean stateRequested;

	private boolean ownDataCentre;

	private boolean otherDataCentre;

	private long lastSentAt = -INTERVAL_MILLIS;

	/** Requests that the own state is sent. */
	void requestState() {
		this.stateRequested = true;
	}

	/**
	 * Considers what a state or digest contains.
	 * @param fromOwnDataCentre whether it comes from the data centre of this daemon, so
	 * that the other data centres need it too
	 * @param lost runners that are lost
	 * @param changing runners that change their layers
	 * @param configuration version of the configuration
	 * @param runnerList version of the list of runners
	 */
	void consider(boolean fromOwnDataCentre, Set<RunnerId> lost, Set<RunnerId> changing, long configuration,
			StoreVersion runnerList) {
		if (configuration > this.passedConfiguration || this.passedRunnerList.isBefore(runnerList)
				|| !this.passedRunners.containsAll(lost) || !this.passedRunners.containsAll(changing)) {
			mark(fromOwnDataCentre);
		}
	}

	/**
	 * Records that a daemon is new, has started again, or has changed whether it serves
	 * or leaves.
	 * @param peer its state
	 * @param isNew whether it is new or has started again
	 * @param fromOwnDataCentre whether it is in the data centre of this daemon
	 */
	void peerChanged(PeerState peer, boolean isNew, boolean fromOwnDataCentre) {
		if (isNew && fromOwnDataCentre) {
			this.newcomers.add(peer.vm());
		}
		if (!isNew) {
			this.changedPeers.add(peer.vm());
			mark(fromOwnDataCentre);
		}
	}

	private void mark(boolean fromOwnDataCentre) {
		this.ownDataCentre |= fromOwnDataCentre;
		this.otherDataCentre |= !fromOwnDataCentre;
	}

	/**
	 * Records what a digest of all data centres contains.
	 * @param content content of the digest that is sent
	 */
	void passed(DigestBuilder.Content content) {
		Set<RunnerId> runners = new HashSet<>(content.lost());
		runners.addAll(content.changing());
		this.passedRunners = runners;
		this.passedConfiguration = content.configuration();
		this.passedRunnerList = content.runnerList();
	}

	/**
	 * Returns when the news should be sent.
	 * @param delegate whether this daemon is a delegate; others pass on nothing
	 * @return time in milliseconds, which may have passed; empty if there are none
	 */
	OptionalLong dueAt(boolean delegate) {
		boolean due = this.stateRequested || (delegate && (this.ownDataCentre || this.otherDataCentre));
		return due ? OptionalLong.of(this.lastSentAt + INTERVAL_MILLIS) : OptionalLong.empty();
	}

	/**
	 * Takes the news that are sent now.
	 * @param now current time in milliseconds
	 * @return the news
	 */
	Taken take(long now) {
		Taken taken = new Taken(this.stateRequested, this.ownDataCentre || this.stateRequested,
				Set.copyOf(this.changedPeers));
		this.stateRequested = false;
		this.ownDataCentre = false;
		this.otherDataCentre = false;
		this.changedPeers.clear();
		this.lastSentAt = now;
		return taken;
	}

	/** Forgets what a delegate would pass on. */
	void forgetPeers() {
		this.changedPeers.clear();
		this.ownDataCentre = false;
		this.otherDataCentre = false;
	}

	/**
	 * Takes the daemons of the own data centre that are new.
	 * @return names of their VMs
	 */
	Set<String> takeNewcomers() {
		Set<String> taken = Set.copyOf(this.newcomers);
		this.newcomers.clear();
		return taken;
	}

	/**
	 * News to send.
	 *
	 * @param ownState whether the own state is sent
	 * @param toOtherDataCentres whether the other data centres need them
	 * @param changedPeers names of the VMs whose presence has changed
	 */
	record Taken(boolean ownState, boolean toOtherDataCentres, Set<String> changedPeers) {

	}

}
