package io.bilberryvalve.daemon.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.membership.Member;
import io.bilberryvalve.policy.membership.MemberChange;
import io.bilberryvalve.policy.membership.MemberState;
import io.bilberryvalve.policy.membership.MemberTable;
import io.bilberryvalve.policy.membership.MemberUpdate;
import io.bilberryvalve.policy.membership.MemberView;
import io.bilberryvalve.policy.membership.PeerSelector;
import io.bilberryvalve.wire.PeerIdentity;
import io.bilberryvalve.wire.proto.Heartbeat;
import io.bilberryvalve.wire.proto.MemberDigest;
import io.bilberryvalve.wire.proto.MemberEntry;

/**
 * Holds the {@link MemberTable} of this daemon. All updates take the lock of this object;
 * the members, the selected peers and the own identity are published in volatile fields,
 * so that readers need no lock.
 */
final class PeerMembership {

	private static final Logger LOGGER = System.getLogger(PeerMembership.class.getName());

	/**
	 * Highest incarnation accepted from peers; a daemon must still be able to take a
	 * higher one than they know.
	 */
	private static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

	private final Lifecycle lifecycle;

	private final MemberTable table;

	private final PeerSelector selector;

	private final List<MemberChange> unsentChanges = new ArrayList<>();

	private boolean selectionDue;

	private volatile List<MemberView> members = List.of();

	private volatile Set<VmId> selected = Set.of();

	private volatile PeerIdentity identity;

	PeerMembership(PeerSettings settings, Address peerAddress, Lifecycle lifecycle, Clock clock,
			Function<DataCentreId, RegionId> regions) {
		this.lifecycle = lifecycle;
		Member self = new Member(settings.vm(), settings.incarnation(), settings.dataCentre(), settings.callerAddress(),
				peerAddress);
		this.table = new MemberTable(self, clock, settings.membershipTimeouts());
		this.selector = new PeerSelector(settings.maxPeers(), regions);
		this.identity = identity(self);
	}

	PeerIdentity identity() {
		return this.identity;
	}

	List<MemberView> members() {
		return this.members;
	}

	/**
	 * Returns the peers to which this daemon opens connections, as of the last
	 * {@link #tick()}.
	 * @return the VMs of the selected peers
	 */
	Set<VmId> selectedPeers() {
		return this.selected;
	}

	synchronized MemberUpdate nextHeartbeat() {
		ServingState state = this.lifecycle.state();
		boolean ready = state == ServingState.READY || state == ServingState.LEAVING;
		return this.table.nextHeartbeat(ready, state.compareTo(ServingState.LEAVING) >= 0);
	}

	synchronized void recordHeartbeat(PeerIdentity sender, Heartbeat heartbeat) {
		Member member = member(sender);
		MemberUpdate update = new MemberUpdate(member, heartbeat.getBeat(), heartbeat.getReady(),
				heartbeat.getLeaving(), false);
		publish(this.table.handleHeartbeat(update).stream().toList());
		if (heartbeat.getDetaching()) {
			this.table.detach(member);
		}
	}

	synchronized void recordDetach(PeerIdentity remote) {
		this.table.detach(member(remote));
	}

	synchronized void mergeDigest(MemberDigest digest) {
		List<MemberChange> changes = new ArrayList<>();
		for (MemberEntry entry : digest.getEntriesList()) {
			decode(entry).flatMap(this.table::handleGossip).ifPresent(changes::add);
		}
		publish(changes);
		if (this.table.self().incarnation() != this.identity.incarnation()) {
			this.identity = identity(this.table.self());
			LogEvent.of("incarnation-raised")
				.with("vm", this.identity.vm())
				.with("incarnation", this.identity.incarnation())
				.with("reason", "a peer knows a higher incarnation of this VM")
				.log(LOGGER, Level.WARNING);
		}
	}

	synchronized void tick() {
		publish(this.table.tick());
		if (this.table.size() != this.members.size()) {
			publishMembers();
		}
		if (this.selectionDue) {
			this.selectionDue = false;
			updateSelection();
		}
	}

	synchronized MemberDigest digest(int limit) {
		return digest(this.table.digest(limit));
	}

	/**
	 * Returns a digest for all peers if members have changed since the last call. A
	 * member that has only become suspect does not count as changed.
	 * @param limit largest number of members in the digest
	 * @return the digest, or empty if nothing has changed
	 */
	synchronized Optional<MemberDigest> takeChanges(int limit) {
		if (this.unsentChanges.isEmpty()) {
			return Optional.empty();
		}
		this.unsentChanges.clear();
		return Optional.of(digest(this.table.digest(limit)));
	}

	private void publish(List<MemberChange> changes) {
		if (!changes.isEmpty()) {
			changes.forEach(this::recordChange);
			publishMembers();
		}
	}

	private void publishMembers() {
		this.members = this.table.members();
		this.selectionDue = true;
	}

	private void recordChange(MemberChange change) {
		if (change.after() != MemberState.SUSPECT) {
			this.unsentChanges.add(change);
		}
		LogEvent.of("member-changed")
			.with("vm", change.member().vm())
			.with("incarnation", change.member().incarnation())
			.with("before", change.before())
			.with("after", change.after())
			.log(LOGGER, Level.INFO);
	}

	// Runs at most once in a tick, because a selection examines all members.
	private void updateSelection() {
		List<Member> reachable = this.members.stream()
			.filter((view) -> view.state() != MemberState.ABSENT)
			.map(MemberView::member)
			.toList();
		this.selected = this.selector.select(this.table.self(), reachable);
	}

	private static PeerIdentity identity(Member self) {
		return new PeerIdentity(self.vm(), self.incarnation(), self.dataCentre(), self.callerAddress(),
				self.peerAddress());
	}

	private static Member member(PeerIdentity identity) {
		return new Member(identity.vm(), identity.incarnation(), identity.dataCentre(), identity.callerAddress(),
				identity.peerAddress());
	}

	private static MemberDigest digest(List<MemberUpdate> updates) {
		MemberDigest.Builder digest = MemberDigest.newBuilder();
		updates.forEach((each) -> digest.addEntries(encode(each)));
		return digest.build();
	}

	private static MemberEntry encode(MemberUpdate update) {
		Member member = update.member();
		return MemberEntry.newBuilder()
			.setVm(member.vm().value())
			.setIncarnation(member.incarnation())
			.setBeat(update.heartbeat())
			.setDataCentre(member.dataCentre().value())
			.setCallerAddress(member.callerAddress().toString())
			.setPeerAddress(member.peerAddress().toString())
			.setReady(update.ready())
			.setLeaving(update.leaving())
			.setAbsent(update.absent())
			.build();
	}

	// An odd entry says nothing about the others, so it is left out.
	private static Optional<MemberUpdate> decode(MemberEntry entry) {
		try {
			if (entry.getIncarnation() < 0 || entry.getIncarnation() > MAX_INCARNATION) {
				throw new IllegalArgumentException("incarnation " + entry.getIncarnation() + " is out of range");
			}
			Member member = new Member(new VmId(entry.getVm()), entry.getIncarnation(),
					new DataCentreId(entry.getDataCentre()), Address.parse(entry.getCallerAddress()),
					Address.parse(entry.getPeerAddress()));
			return Optional
				.of(new MemberUpdate(member, entry.getBeat(), entry.getReady(), entry.getLeaving(), entry.getAbsent()));
		}
		catch (IllegalArgumentException ex) {
			LogEvent.of("member-entry-unreadable")
				.with("vm", entry.getVm())
				.with("error", ex)
				.log(LOGGER, Level.WARNING);
			return Optional.empty();
		}
	}

}
