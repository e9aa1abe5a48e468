package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.bilberryvalve.gateway.peer.StateExchange.LocalState;
import io.bilberryvalve.model.Address;
import org.jspecify.annotations.Nullable;

/**
 * Sends in a fleet with delegates: the state goes to the delegates of the own data
 * centre, and a delegate sends digests and rosters. Confined to one thread.
 */
final class DelegateSender {

	/** Number of periods between two states to a daemon that has not been heard. */
	private static final int SEARCH_PERIODS = 8;

	/** Number of periods between two states to a daemon that knows no delegates. */
	private static final int ANSWER_PERIODS = 4;

	/** Period of digests. */
	private static final long DIGEST_MILLIS = 300;

	private static final long HALF_DIGEST_MILLIS = DIGEST_MILLIS / 2;

	/** Half of the period in which the delegate may send. */
	private static final long TOLERANCE_MILLIS = StateExchange.SEND_PERIOD_MILLIS / 2;

	/**
	 * Number of digests for each roster to the own data centre. The few delegates of the
	 * others get one with each digest, so that presence that passes two delegates is not
	 * twice as old.
	 */
	private static final int DIGESTS_PER_ROSTER = 2;

	private final LocalState local;

	private final PeerDirectory directory;

	private final Delegates delegates;

	private final DelegateRole role;

	private final StateReceiver receiver;

	private final StateBuilder states;

	private final DigestBuilder digestBuilder;

	private final UrgentNews news;

	private final DirectSenders directSenders;

	private final Clock clock;

	private long period;

	private long digestSentAt;

	private long digestCount;

	DelegateSender(LocalState local, PeerDirectory directory, Delegates delegates, DelegateRole role,
			StateReceiver receiver, StateBuilder states, DigestBuilder digestBuilder, UrgentNews news,
			DirectSenders directSenders, Clock clock) {
		this.local = local;
		this.directory = directory;
		this.delegates = delegates;
		this.role = role;
		this.receiver = receiver;
		this.states = states;
		this.digestBuilder = digestBuilder;
		this.news = news;
		this.directSenders = directSenders;
		this.clock = clock;
		this.digestSentAt = clock.millis() - DIGEST_MILLIS;
	}

	/**
	 * Builds the messages of a period.
	 * @return messages to send
	 */
	List<OutgoingMessage> send() {
		this.period++;
		List<OutgoingMessage> messages = new ArrayList<>();
		messages.add(state(stateTargets()));
		Set<String> newcomers = this.news.takeNewcomers();
		if (!this.role.isDelegate()) {
			this.news.forgetPeers();
			return messages;
		}
		if (this.role.sendsDigests() && isDigestDue()) {
			this.digestCount++;
			messages.addAll(digests(true));
			messages.addAll(rosters(otherDelegates(), true));
			if (this.digestCount % DIGESTS_PER_ROSTER == 0) {
				messages.addAll(rosters(members(), false));
				return messages;
			}
		}
		messages.addAll(rosters(addresses(newcomers.stream().map(this.directory::get)), false));
		return messages;
	}

	private OutgoingMessage state(Collection<Address> targets) {
		byte[] bytes = targets.isEmpty() ? new byte[0] : this.states.build().toByteArray();
		return new OutgoingMessage(MessageKind.STATE, bytes, targets);
	}

	private Set<Address> stateTargets() {
		long now = this.clock.millis();
		Set<Address> chosen = new LinkedHashSet<>(ownDelegates());
		Map<Address, PeerState> peers = new HashMap<>();
		this.directory.all().forEach((peer) -> peers.put(peer.stateAddress(), peer));
		for (Address address : this.directory.targets().keySet()) {
			PeerState peer = peers.get(address);
			if (isTurn(address, SEARCH_PERIODS) && isSearched(peer, now)) {
				chosen.add(address);
			}
			else if (peer != null && isTurn(address, ANSWER_PERIODS) && isAnswered(peer, now)) {
				chosen.add(address);
			}
		}
		return chosen;
	}

	// The turns of the receivers differ, so that no period has a burst.
	private boolean isTurn(Address address, int periods) {
		return Math.floorMod(address.hashCode() + this.period, periods) == 0;
	}

	private boolean isSearched(@Nullable PeerState peer, long now) {
		if (peer == null) {
			return true;
		}
		if (this.role.isDelegate()) {
			return now - peer.receivedMillis() >= this.directory.absentMillis();
		}
		return this.role.isDigestMissing() && peer.dataCentre().equals(this.local.dataCentre());
	}

	// Members of the own data centre get the digests of a delegate.
	private boolean isAnswered(PeerState peer, long now) {
		boolean member = this.role.isDelegate() && peer.dataCentre().equals(this.local.dataCentre());
		return !member && this.directSenders.isFrequent(peer.vm(), now);
	}

	private List<Address> ownDelegates() {
		return addresses(this.delegates.ofOwnDataCentre().stream());
	}

	private List<Address> members() {
		return addresses(this.directory.presentPeers()
			.stream()
			.filter((peer) -> peer.dataCentre().equals(this.local.dataCentre())));
	}

	private List<Address> otherDelegates() {
		return addresses(this.directory.all()
			.stream()
			.map(PeerState::dataCentre)
			.filter((dataCentre) -> !dataCentre.equals(this.local.dataCentre()))
			.distinct()
			.flatMap((dataCentre) -> this.delegates.of(dataCentre).stream()));
	}

	private static List<Address> addresses(Stream<@Nullable PeerState> peers) {
		return peers.filter(Objects::nonNull).map(PeerState::stateAddress).distinct().toList();
	}

	// The clocks of daemons differ, so the second delegate follows the digests of the
	// first one by half a period.
	private boolean isDigestDue() {
		long now = this.clock.millis();
		long since = now - this.digestSentAt;
		if (since >= DIGEST_MILLIS + TOLERANCE_MILLIS) {
			return true;
		}
		if (since < DIGEST_MILLIS - TOLERANCE_MILLIS) {
			return false;
		}
		long other = now - this.receiver.digestReceivedAt();
		return this.role.place() == 0 || other > DIGEST_MILLIS + TOLERANCE_MILLIS
				|| Math.abs(other - HALF_DIGEST_MILLIS) <= TOLERANCE_MILLIS;
	}

	private List<OutgoingMessage> digests(boolean toOtherDataCentres) {
		this.digestSentAt = this.clock.millis();
		List<OutgoingMessage> messages = new ArrayList<>();
		DigestBuilder.Content whole = this.digestBuilder.collect(false);
		this.news.passed(whole);
		List<Address> members = members();
		if (!members.isEmpty()) {
			messages.add(new OutgoingMessage(MessageKind.DIGEST, this.digestBuilder.encode(whole, false), members));
		}
		List<Address> others = toOtherDataCentres ? otherDelegates() : List.of();
		if (!others.isEmpty()) {
			DigestBuilder.Content own = this.digestBuilder.collect(true);
			messages.add(new OutgoingMessage(MessageKind.DIGEST, this.digestBuilder.encode(own, true), others));
		}
		return messages;
	}

	private List<OutgoingMessage> rosters(List<Address> targets, boolean ownDataCentreOnly) {
		if (targets.isEmpty()) {
			return List.of();
		}
		return this.digestBuilder.rosters(ownDataCentreOnly)
			.stream()
			.map((bytes) -> new OutgoingMessage(MessageKind.ROSTER, bytes, targets))
			.toList();
	}

	/**
	 * Builds the messages with urgent news.
	 * @return messages to send
	 */
	List<OutgoingMessage> sendUrgent() {
		UrgentNews.Taken taken = this.news.take(this.clock.millis());
		List<OutgoingMessage> messages = new ArrayList<>();
		if (taken.ownState()) {
			messages.add(state(ownDelegates()));
		}
		if (!this.role.isDelegate()) {
			return messages;
		}
		if (this.role.sendsDigests()) {
			messages.addAll(digests(taken.toOtherDataCentres()));
		}
		messages.addAll(changedPresence(taken));
		return messages;
	}

	private List<OutgoingMessage> changedPresence(UrgentNews.Taken taken) {
		List<PeerState> changed = taken.changedPeers()
			.stream()
			.map(this.directory::get)
			.filter(Objects::nonNull)
			.limit(DigestBuilder.ROSTER_SIZE - 1)
			.collect(Collectors.toCollection(ArrayList::new));
		if (taken.ownState()) {
			changed.add(this.states.presence());
		}
		List<OutgoingMessage> messages = new ArrayList<>();
		addRoster(messages, changed, members());
		if (taken.toOtherDataCentres()) {
			changed.removeIf((peer) -> !peer.dataCentre().equals(this.local.dataCentre()));
			addRoster(messages, changed, otherDelegates());
		}
		return messages;
	}

	private void addRoster(List<OutgoingMessage> messages, List<PeerState> peers, List<Address> targets) {
		if (!peers.isEmpty() && !targets.isEmpty()) {
			messages.add(new OutgoingMessage(MessageKind.ROSTER, this.digestBuilder.roster(peers), targets));
		}
	}

}
