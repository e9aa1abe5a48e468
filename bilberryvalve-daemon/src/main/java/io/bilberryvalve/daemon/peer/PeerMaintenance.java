package io.bilberryvalve.daemon.peer;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.membership.Member;
import io.bilberryvalve.policy.membership.MemberState;
import io.bilberryvalve.policy.membership.MemberUpdate;
import io.bilberryvalve.policy.membership.MemberView;
import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.PeerTransport;
import io.bilberryvalve.wire.proto.Heartbeat;
import io.bilberryvalve.wire.proto.MemberDigest;

/**
 * Periodic work of the peer network: sends heartbeats and membership digests, closes
 * silent and superfluous connections and opens missing ones.
 */
final class PeerMaintenance {

	private static final int DIGEST_MEMBERS = 40;

	private static final int PERIODIC_DIGEST_MEMBERS = 16;

	// Largest number of absent or unknown daemons that are dialled in one round,
	// chosen at random. Without this limit the loss of a data centre would cause a
	// burst of connection attempts.
	private static final int MAX_UNKNOWN_TARGETS = 8;

	private static final Duration UNSELECTED_IDLE_TIMEOUT = Duration.ofMinutes(1);

	/** Idle time after which a redundant connection is closed. */
	private static final Duration REDUNDANT_IDLE_TIMEOUT = Duration.ofSeconds(5);

	private final PeerSettings settings;

	private final PeerDirectory directory;

	private final ConfigurationVersions versions;

	private final PeerMembership membership;

	private final ConnectionRegistry connections;

	private final PeerTransport transport;

	private final Clock clock;

	private final Random random;

	private final PeerDialer dialer;

	private final ConcurrentHashMap<VmId, CompletionStage<PeerConnection>> opening = new ConcurrentHashMap<>();

	private long nextHeartbeatMillis;

	PeerMaintenance(PeerSettings settings, PeerDirectory directory, ConfigurationVersions versions,
			PeerMembership membership, ConnectionRegistry connections, PeerTransport transport, Clock clock) {
		this.settings = settings;
		this.directory = directory;
		this.versions = versions;
		this.membership = membership;
		this.connections = connections;
		this.transport = transport;
		this.clock = clock;
		this.random = new Random(settings.vm().value().hashCode() ^ settings.incarnation());
		this.dialer = new PeerDialer(clock, this.random, transport::connect);
	}

	void tick() {
		this.membership.tick();
		closeConnections();
		this.dialer.dial(dialTargets());
		this.membership.takeChanges(DIGEST_MEMBERS).ifPresent(this::sendToAll);
		long now = this.clock.millis();
		if (now >= this.nextHeartbeatMillis) {
			this.nextHeartbeatMillis = now + this.settings.heartbeatInterval().toMillis();
			sendHeartbeats();
			sendDigest();
		}
	}

	/**
	 * Sends the next heartbeat of this daemon on each open connection.
	 */
	void sendHeartbeats() {
		MemberUpdate own = this.membership.nextHeartbeat();
		this.connections.all().forEach((monitored) -> sendHeartbeat(monitored, own));
	}

	/**
	 * Sends a heartbeat and a membership digest on a new connection, so that the peer
	 * need not wait for the next regular ones.
	 * @param monitored connection that has just been authenticated
	 */
	void sendInitialState(MonitoredConnection monitored) {
		sendHeartbeat(monitored, this.membership.nextHeartbeat());
		send(monitored, this.membership.digest(DIGEST_MEMBERS));
	}

	/**
	 * Opens a connection to a member, which need not be a selected peer. Concurrent calls
	 * for the same member share one attempt.
	 * @param target the VM of the member
	 * @return the connection; fails if the member is not known or cannot be reached
	 */
	CompletionStage<PeerConnection> connect(VmId target) {
		Optional<Member> member = this.membership.members()
			.stream()
			.map(MemberView::member)
			.filter((each) -> each.vm().equals(target))
			.findFirst();
		if (member.isEmpty()) {
			return CompletableFuture.failedFuture(new IllegalStateException("entry " + target + " is not known"));
		}
		return this.opening.computeIfAbsent(target, (vm) -> open(vm, member.get().peerAddress()));
	}

	// Calls for the target that arrive while this attempt runs share its result.
	private CompletionStage<PeerConnection> open(VmId target, Address address) {
		CompletionStage<PeerConnection> result = this.transport.connect(address).thenApply((connection) -> {
			if (!connection.remote().vm().equals(target)) {
				throw new IllegalStateException("another entry answers at the address of " + target);
			}
			return connection;
		});
		result.whenCompleteAsync((connection, failure) -> this.opening.remove(target));
		return result;
	}

	private void closeConnections() {
		boolean aboveMaxPeers = this.connections.vms().size() > this.settings.maxPeers();
		Set<VmId> selected = this.membership.selectedPeers();
		long incarnation = this.membership.identity().incarnation();
		for (MonitoredConnection monitored : this.connections.all()) {
			PeerConnection connection = monitored.connection();
			if (monitored.isSilent()) {
				connection.close("no answered heartbeat for " + this.settings.silenceTimeout().toMillis() + " ms");
			}
			else if (connection.local().incarnation() != incarnation) {
				connection.close("this daemon has taken a higher incarnation");
			}
			else if (isRedundant(monitored)) {
				connection.close("another connection to the peer exists");
			}
			else if (aboveMaxPeers && connection.isInitiator() && !selected.contains(connection.remote().vm())
					&& monitored.idleTime().compareTo(UNSELECTED_IDLE_TIMEOUT) > 0) {
				detach(monitored);
			}
		}
	}

	// Two daemons that start together open connections to each other at the same time.
	// The one with the lower VM identifier closes the connection that it opened
	// itself, so that exactly one of the two remains.
	private boolean isRedundant(MonitoredConnection monitored) {
		PeerConnection connection = monitored.connection();
		VmId remote = connection.remote().vm();
		return connection.isInitiator() && connection.local().vm().compareTo(remote) < 0
				&& monitored.idleTime().compareTo(REDUNDANT_IDLE_TIMEOUT) > 0
				&& this.connections.all()
					.stream()
					.anyMatch((other) -> !other.connection().isInitiator() && !other.isSilent()
							&& other.connection().remote().equals(connection.remote()));
	}

	private void detach(MonitoredConnection monitored) {
		PeerConnection connection = monitored.connection();
		this.membership.recordDetach(connection.remote());
		Heartbeat last = createHeartbeat(monitored, this.membership.nextHeartbeat()).setDetaching(true).build();
		connection.send(PeerEnvelopes.envelope(connection).setHeartbeat(last).build());
		connection.close("the peer is not selected");
	}

	private Set<Address> dialTargets() {
		Set<Address> targets = new LinkedHashSet<>();
		Set<Address> known = new LinkedHashSet<>();
		List<Address> unknown = new ArrayList<>();
		Set<VmId> selected = this.membership.selectedPeers();
		known.add(this.membership.identity().peerAddress());
		for (MemberView view : this.membership.members()) {
			Member member = view.member();
			known.add(member.peerAddress());
			if (this.connections.isConnected(member.vm())) {
				continue;
			}
			if (view.state() == MemberState.ABSENT) {
				unknown.add(member.peerAddress());
			}
			else if (selected.contains(member.vm())) {
				targets.add(member.peerAddress());
			}
		}
		this.directory.addresses().stream().filter((address) -> !known.contains(address)).forEach(unknown::add);
		if (unknown.size() > MAX_UNKNOWN_TARGETS) {
			Collections.shuffle(unknown, this.random);
		}
		unknown.stream().limit(MAX_UNKNOWN_TARGETS).forEach(targets::add);
		return targets;
	}

	private void sendDigest() {
		List<MonitoredConnection> all = this.connections.all();
		if (!all.isEmpty()) {
			send(all.get(this.random.nextInt(all.size())), this.membership.digest(PERIODIC_DIGEST_MEMBERS));
		}
	}

	private void sendToAll(MemberDigest digest) {
		for (VmId vm : this.connections.vms()) {
			this.connections.mostRecentlyAnswered(vm).ifPresent((monitored) -> send(monitored, digest));
		}
	}

	private void send(MonitoredConnection monitored, MemberDigest digest) {
		PeerConnection connection = monitored.connection();
		connection.send(PeerEnvelopes.envelope(connection).setMembers(digest).build());
	}

	private void sendHeartbeat(MonitoredConnection monitored, MemberUpdate own) {
		PeerConnection connection = monitored.connection();
		connection.send(PeerEnvelopes.envelope(connection).setHeartbeat(createHeartbeat(monitored, own)).build());
	}

	private Heartbeat.Builder createHeartbeat(MonitoredConnection monitored, MemberUpdate own) {
		ConfigurationVersions.VersionDigest version = this.versions.local();
		return Heartbeat.newBuilder()
			.setBeat(own.heartbeat())
			.setAnswered(monitored.lastReceivedBeat())
			.setReady(own.ready())
			.setLeaving(own.leaving())
			.setConfigurationVersion(version.version())
			.setConfigurationDigest(version.digest());
	}

}
