package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.gateway.fleet.LoadTracker.Aggregate;
import io.bilberryvalve.gateway.fleet.LoadTracker.DaemonLoad;
import io.bilberryvalve.gateway.peer.ReceivedDigest.Width;
import io.bilberryvalve.gateway.peer.SentReports.SentReport;
import io.bilberryvalve.gateway.peer.StateExchange.LocalState;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.bilberryvalve.wire.proto.LoadMessages.ContainedState;
import io.bilberryvalve.wire.proto.LoadMessages.DaemonState;
import io.bilberryvalve.wire.proto.LoadMessages.DataCentreAge;
import io.bilberryvalve.wire.proto.LoadMessages.FleetMessage;
import io.bilberryvalve.wire.proto.LoadMessages.PromptPart;
import io.bilberryvalve.wire.proto.LoadMessages.Roster;
import io.bilberryvalve.wire.proto.LoadMessages.StateDigest;
import org.jspecify.annotations.Nullable;

/**
 * Applies the messages of other daemons. Confined to one thread.
 */
final class StateReceiver {

	private static final System.Logger LOGGER = System.getLogger(StateReceiver.class.getName());

	/**
	 * Time for which the lost and changing runners of a digest count. Digests come every
	 * 300 ms, and one may be lost.
	 */
	static final long DIGEST_RUNNERS_MILLIS = 600;

	/** Least time between two log lines on datagrams that are no messages. */
	private static final long UNREADABLE_LOG_MILLIS = 1000;

	private final LocalState local;

	private final PeerDirectory directory;

	private final Delegates delegates;

	private final DigestTable digests;

	private final DigestBuilder digestBuilder;

	private final SharedKnowledge knowledge;

	private final StateCodec codec;

	private final StateBuilder states;

	private final UrgentNews news;

	private final DirectSenders directSenders;

	private final Clock clock;

	private final VersionLag versionLag;

	private LongConsumer onNewerConfiguration = (version) -> {
	};

	private Consumer<StoreVersion> onNewerRunnerList = (version) -> {
	};

	/** Read by the metrics too. */
	private volatile long digestReceivedAt;

	private long unreadableCount;

	private long unreadableLoggedAt;

	StateReceiver(LocalState local, PeerDirectory directory, Delegates delegates, DigestTable digests,
			DigestBuilder digestBuilder, SharedKnowledge knowledge, StateCodec codec, StateBuilder states,
			UrgentNews news, DirectSenders directSenders, Clock clock) {
		this.local = local;
		this.directory = directory;
		this.delegates = delegates;
		this.digests = digests;
		this.digestBuilder = digestBuilder;
		this.knowledge = knowledge;
		this.codec = codec;
		this.states = states;
		this.news = news;
		this.directSenders = directSenders;
		this.clock = clock;
		this.versionLag = new VersionLag(clock);
		this.digestReceivedAt = clock.millis();
		this.unreadableLoggedAt = clock.millis() - UNREADABLE_LOG_MILLIS;
	}

	void onNewerConfiguration(LongConsumer action) {
		this.onNewerConfiguration = action;
	}

	void onNewerRunnerList(Consumer<StoreVersion> action) {
		this.onNewerRunnerList = action;
	}

	/**
	 * Returns when the last digest of all data centres arrived.
	 * @return time in milliseconds; the time of the start if none has arrived
	 */
	long digestReceivedAt() {
		return this.digestReceivedAt;
	}

	/**
	 * Applies a datagram. One that cannot be read is logged and has no effect.
	 * @param bytes content of the datagram
	 * @return kind of the message
	 */
	MessageKind receive(byte[] bytes) {
		try {
			DaemonState state = DaemonState.parseFrom(bytes);
			if (!state.getVm().isEmpty()) {
				receive(state);
				return MessageKind.STATE;
			}
			FleetMessage message = FleetMessage.parseFrom(bytes);
			switch (message.getContentCase()) {
				case DIGEST -> receive(message.getDigest());
				case ROSTER -> receive(message.getRoster());
				default -> throw new IllegalArgumentException("a datagram is neither a state nor a fleet message");
			}
			return message.hasDigest() ? MessageKind.DIGEST : MessageKind.ROSTER;
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			logUnreadable(ex);
			return MessageKind.UNREADABLE;
		}
	}

	private void logUnreadable(Exception cause) {
		long now = this.clock.millis();
		this.unreadableCount++;
		if (now - this.unreadableLoggedAt >= UNREADABLE_LOG_MILLIS) {
			this.unreadableLoggedAt = now;
			LogEvent.of("state-unreadable")
				.with("count", this.unreadableCount)
				.with("cause", cause.getMessage())
				.log(LOGGER, System.Logger.Level.WARNING);
		}
	}

	private void receive(DaemonState state) {
		long now = this.clock.millis();
		PeerState peer = this.codec.decode(state, now);
		PeerDirectory.Addition addition = this.directory.add(peer);
		if (!addition.added()) {
			return;
		}
		this.directSenders.record(peer.vm(), now);
		compareConfiguration(peer.vm(), peer.configurationVersion());
		StoreVersion runnerList = new StoreVersion(state.getStoreEra(), state.getRunnerList());
		this.directory.recordRunnerList(peer.vm(), runnerList);
		compareRunnerList(runnerList);
		if (!state.getWithoutUsage()) {
			this.knowledge.loadTracker()
				.applyReport(new DaemonLoad(peer.vm(), peer.incarnation(), peer.sequence(),
						this.codec.usage(state.getUsageList())));
		}
		this.knowledge.runnerAvailability().applyReport(peer.vm(), peer.lostRunners(), peer.changingRunners());
		applyPromptParts(state.getPromptPartsList());
		boolean near = peer.dataCentre().equals(this.local.dataCentre());
		noteChange(addition, peer, near);
		if (near) {
			this.news.consider(true, peer.lostRunners(), peer.changingRunners(), peer.configurationVersion(),
					runnerList);
		}
	}

	private void noteChange(PeerDirectory.Addition addition, PeerState peer, boolean near) {
		if (addition.isChange(peer)) {
			PeerState previous = addition.previous();
			this.news.peerChanged(peer, previous == null || previous.incarnation() != peer.incarnation(), near);
		}
	}

	private void compareConfiguration(String vm, long version) {
		long own = this.local.configurationVersion().getAsLong();
		this.versionLag.compare(vm, version, own);
		if (version > own) {
			this.onNewerConfiguration.accept(version);
		}
	}

	private void compareRunnerList(StoreVersion version) {
		if (this.local.runnerListVersion().get().isBefore(version)) {
			this.onNewerRunnerList.accept(version);
		}
	}

	private void applyPromptParts(List<PromptPart> parts) {
		this.knowledge.partQuarantine().applyReports(parts.stream().map(PartReportCodec::decode).toList());
	}

	private void receive(Roster roster) {
		long now = this.clock.millis();
		List<PeerState> peers = roster.getDaemonsList().stream().map((entry) -> this.codec.decode(entry, now)).toList();
		for (PeerState peer : peers) {
			PeerDirectory.Addition addition = this.directory.add(peer);
			if (addition.added() && !peer.dataCentre().equals(this.local.dataCentre())) {
				noteChange(addition, peer, false);
			}
		}
	}

	private void receive(StateDigest message) {
		DataCentreId dataCentre = new DataCentreId(message.getDataCentre());
		boolean near = dataCentre.equals(this.local.dataCentre());
		// Digests of all data centres are for members of the sender's, and digests of one
		// data centre are for the other ones.
		if (message.getVm().equals(this.local.vm()) || near == message.getOwnDataCentreOnly()) {
			return;
		}
		SentReport own = ownReport(message);
		if (own == null) {
			return;
		}
		ReceivedDigest digest = decode(message, dataCentre, own);
		if (!this.digests.add(digest)) {
			return;
		}
		this.directory.touch(digest.vm(), digest.incarnation(), digest.sequence());
		if (near) {
			this.digestReceivedAt = digest.receivedMillis();
		}
		compareConfiguration(digest.vm(), digest.configuration());
		compareRunnerList(digest.runnerList());
		this.knowledge.runnerAvailability()
			.applyReport(digest.source(), digest.lost(), digest.changing(), DIGEST_RUNNERS_MILLIS);
		applyPromptParts(message.getPromptPartsList());
		if (!near) {
			this.news.consider(false, digest.lost(), digest.changing(), digest.configuration(), digest.runnerList());
		}
		selectDigests();
	}

	// What a digest contains of an earlier start of this daemon is not subtracted, since
	// its requests are not among those that this daemon counts itself.
	private @Nullable SentReport ownReport(StateDigest message) {
		for (ContainedState contained : message.getContainedList()) {
			if (contained.getVm().equals(this.local.vm()) && contained.getIncarnation() == this.states.incarnation()) {
				return this.states.sent().get(contained.getSequence());
			}
		}
		return SentReport.NONE;
	}

	private ReceivedDigest decode(StateDigest message, DataCentreId dataCentre, SentReport own) {
		Map<RunnerId, RunnerLoad> load = this.codec.usage(message.getUsageList());
		own.load().forEach((runner, usage) -> load.merge(runner, RunnerLoad.NONE.minus(usage), RunnerLoad::plus));
		load.values().removeIf(RunnerLoad.NONE::equals);
		Set<String> contained = message.getContainedList()
			.stream()
			.map(ContainedState::getVm)
			.collect(Collectors.toSet());
		Set<DataCentreId> others = message.getDataCentresList()
			.stream()
			.map(DataCentreAge::getDataCentre)
			.map(DataCentreId::new)
			.collect(Collectors.toSet());
		StoreVersion runnerList = new StoreVersion(message.getStoreEra(), message.getRunnerList());
		return new ReceivedDigest(message.getVm(), message.getIncarnation(), message.getSequence(), dataCentre,
				message.getOwnDataCentreOnly(), load, contained, others,
				without(StateCodec.runners(message.getLostRunnersList()), own.lost()),
				without(StateCodec.runners(message.getChangingRunnersList()), own.changing()),
				message.getConfiguration(), runnerList, this.clock.millis());
	}

	private static Set<RunnerId> without(Set<RunnerId> runners, Set<RunnerId> own) {
		Set<RunnerId> others = new HashSet<>(runners);
		others.removeAll(own);
		return others;
	}

	/**
	 * Chooses the digests whose loads count in place of the reports of single daemons.
	 * Call it a few times a second, since digests expire.
	 */
	void selectDigests() {
		long now = this.clock.millis();
		boolean delegate = this.delegates.inUse() && this.delegates.isDelegate();
		Width direct = new Width(this.digests.byDataCentre(now).size(), this.digestBuilder.members().size() + 1);
		this.knowledge.loadTracker()
			.useAggregates(this.digests.select(delegate, direct, now).stream().map(this::aggregate).toList());
	}

	private Aggregate aggregate(ReceivedDigest digest) {
		return new Aggregate(digest.load(), (vm) -> {
			PeerState peer = this.directory.get(vm);
			return digest.contained().contains(vm)
					|| (peer != null && digest.otherDataCentres().contains(peer.dataCentre()));
		});
	}

}
