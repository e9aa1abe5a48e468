package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;

/**
 * In-memory network that connects simulated daemons. Messages arrive immediately, or not
 * at all while the sender or the receiver is isolated.
 */
public final class SimulatedNetwork {

	private final Map<VmId, Member> members = new TreeMap<>();

	private final Set<VmId> isolated = new TreeSet<>();

	/**
	 * Adds a daemon, or replaces the one with the same number as after a restart.
	 * @param index number of the daemon, part of its VM identifier
	 * @return its network
	 */
	public PeerNetwork join(int index) {
		Member member = new Member(new VmId("vm-" + index));
		this.members.put(member.vm, member);
		return member;
	}

	/**
	 * Isolates a daemon from all others.
	 * @param index number of the daemon
	 */
	public void isolate(int index) {
		this.isolated.add(new VmId("vm-" + index));
	}

	/**
	 * Ends the isolation of all daemons.
	 */
	public void reconnectAll() {
		this.isolated.clear();
	}

	/**
	 * Returns whether all daemons are connected.
	 * @return whether no daemon is isolated
	 */
	public boolean isFullyConnected() {
		return this.isolated.isEmpty();
	}

	private boolean connected(VmId a, VmId b) {
		return !this.isolated.contains(a) && !this.isolated.contains(b);
	}

	private final class Member implements PeerNetwork {

		private final VmId vm;

		private final Map<MessageKind, Receiver> receivers = new EnumMap<>(MessageKind.class);

		private final Map<MessageKind, Responder> responders = new EnumMap<>(MessageKind.class);

		Member(VmId vm) {
			this.vm = vm;
		}

		@Override
		public List<Peer> peers() {
			return SimulatedNetwork.this.members.keySet()
				.stream()
				.filter((other) -> !other.equals(this.vm))
				.map((other) -> new Peer(other, 1, new DataCentreId("dc-1"), new Address("127.0.0.1", 1),
						connected(this.vm, other) ? Peer.State.LIVE : Peer.State.ABSENT))
				.toList();
		}

		@Override
		public void broadcast(MessageKind kind, byte[] body) {
			for (Member other : List.copyOf(SimulatedNetwork.this.members.values())) {
				Receiver receiver = other.receivers.get(kind);
				if (other != this && receiver != null && connected(this.vm, other.vm)) {
					receiver.receive(this.vm, body);
				}
			}
		}

		@Override
		public CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout) {
			Member other = SimulatedNetwork.this.members.get(target);
			Responder responder = (other != null) ? other.responders.get(kind) : null;
			if (responder == null || !connected(this.vm, target)) {
				return CompletableFuture.completedFuture(
						Result.failed(Problem.notRun(ProblemKind.UNAVAILABLE, "not connected", "try again later")));
			}
			return responder.respond(this.vm, body).thenApply(Result::ok);
		}

		@Override
		public void setReceiver(MessageKind kind, Receiver receiver) {
			this.receivers.put(kind, receiver);
		}

		@Override
		public void setResponder(MessageKind kind, Responder responder) {
			this.responders.put(kind, responder);
		}

	}

}
