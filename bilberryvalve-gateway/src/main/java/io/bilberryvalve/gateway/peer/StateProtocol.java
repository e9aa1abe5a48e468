package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.bilberryvalve.gateway.peer.StateExchange.LocalState;
import io.bilberryvalve.platform.watch.StoreVersion;

/**
 * Exchange of states without sockets and timers: maps received datagrams and the time to
 * what this daemon knows of others, and produces the datagrams to send. All methods but
 * those of {@link #directory()} and {@link #delegates()} are confined to one thread.
 */
final class StateProtocol {

	private final SharedKnowledge knowledge;

	private final PeerDirectory directory;

	private final Delegates delegates;

	private final UrgentNews news = new UrgentNews();

	private final StateReceiver receiver;

	private final DelegateRole role;

	private final DirectSender directSender;

	private final DelegateSender delegateSender;

	private final Clock clock;

	/**
	 * Creates a protocol without peers.
	 * @param local state of this daemon
	 * @param knowledge what this daemon knows of runners
	 * @param clock monotonic clock
	 * @param incarnation number of this start of the daemon
	 */
	StateProtocol(LocalState local, SharedKnowledge knowledge, Clock clock, long incarnation) {
		this.knowledge = knowledge;
		this.clock = clock;
		this.directory = new PeerDirectory(local, clock, incarnation);
		this.delegates = new Delegates(local, this.directory::heardLately, this.directory::knownCount);
		StateCodec codec = new StateCodec();
		StateBuilder states = new StateBuilder(local, knowledge, clock, incarnation, codec);
		DigestTable digests = new DigestTable();
		DirectSenders directSenders = new DirectSenders();
		DigestBuilder digestBuilder = new DigestBuilder(local, this.directory, digests, knowledge, states, codec,
				clock);
		this.receiver = new StateReceiver(local, this.directory, this.delegates, digests, digestBuilder, knowledge,
				codec, states, this.news, directSenders, clock);
		this.role = new DelegateRole(this.delegates, this.receiver, clock);
		this.directSender = new DirectSender(local, this.directory, states, clock);
		this.delegateSender = new DelegateSender(local, this.directory, this.delegates, this.role, this.receiver,
				states, digestBuilder, this.news, directSenders, clock);
	}

	PeerDirectory directory() {
		return this.directory;
	}

	Delegates delegates() {
		return this.delegates;
	}

	void onNewerConfiguration(LongConsumer action) {
		this.receiver.onNewerConfiguration(action);
	}

	void onNewerRunnerList(Consumer<StoreVersion> action) {
		this.receiver.onNewerRunnerList(action);
	}

	/**
	 * Applies a datagram.
	 * @param bytes content of the datagram
	 * @return kind of the message
	 */
	MessageKind receive(byte[] bytes) {
		return this.receiver.receive(bytes);
	}

	/**
	 * Produces the messages of a period of {@value StateExchange#SEND_PERIOD_MILLIS} ms.
	 * @return messages to send
	 */
	List<OutgoingMessage> sendPeriodic() {
		this.knowledge.loadTracker().removeExpired();
		this.directory.removeSilentTargets();
		this.role.update();
		this.receiver.selectDigests();
		if (!this.delegates.inUse()) {
			this.news.take(this.clock.millis());
			this.news.takeNewcomers();
			return this.directSender.send(false);
		}
		return this.delegateSender.send();
	}

	/**
	 * Produces the messages by which the state is sent in addition to the periodic ones.
	 * In a fleet with delegates it becomes urgent news.
	 * @param toAll whether to include daemons that get every few states only
	 * @return messages to send; see also {@link #urgentAt()}
	 */
	List<OutgoingMessage> sendNow(boolean toAll) {
		if (!this.delegates.inUse()) {
			return this.directSender.send(toAll);
		}
		this.news.requestState();
		return List.of();
	}

	/**
	 * Returns when {@link #sendUrgent()} should be called.
	 * @return time in milliseconds, which may have passed; empty if there are no urgent
	 * news
	 */
	OptionalLong urgentAt() {
		return this.delegates.inUse() ? this.news.dueAt(this.role.isDelegate()) : OptionalLong.empty();
	}

	/**
	 * Produces the messages with urgent news.
	 * @return messages to send
	 */
	List<OutgoingMessage> sendUrgent() {
		return this.delegateSender.sendUrgent();
	}

	/**
	 * Returns the age of the last digest of all data centres.
	 * @return time in milliseconds, since the start if none has arrived; 0 in a fleet
	 * without delegates
	 */
	long digestAgeMillis() {
		return this.delegates.inUse() ? this.clock.millis() - this.receiver.digestReceivedAt() : 0;
	}

}
