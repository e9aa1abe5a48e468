package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.LoadTracker.DaemonLoad;
import io.bilberryvalve.gateway.fleet.RunnerAvailability.ReportedRunners;
import io.bilberryvalve.gateway.peer.StateExchange.LocalState;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.bilberryvalve.wire.proto.LoadMessages.ContainedState;
import io.bilberryvalve.wire.proto.LoadMessages.DataCentreAge;
import io.bilberryvalve.wire.proto.LoadMessages.FleetMessage;
import io.bilberryvalve.wire.proto.LoadMessages.Roster;
import io.bilberryvalve.wire.proto.LoadMessages.StateDigest;

/**
 * Builds the digests and rosters of a delegate. They contain what has arrived directly
 * from daemons of the own data centre, and from the delegates of the other data centres
 * on theirs, but nothing that the other delegate of the own data centre has passed on, so
 * that nothing circulates. Confined to one thread.
 */
final class DigestBuilder {

	/** Largest number of daemons in one roster. */
	static final int ROSTER_SIZE = 40;

	/**
	 * Largest age of a report on lost or changing runners that is passed on. Together
	 * with {@link StateReceiver#DIGEST_RUNNERS_MILLIS} it makes the second for which such
	 * a report counts at a daemon that receives it directly.
	 */
	private static final long REPORTED_RUNNERS_MILLIS = 400;

	/** Silence after which a daemon is left out of rosters. */
	private static final long LISTED_MILLIS = 5000;

	private final LocalState local;

	private final PeerDirectory directory;

	private final DigestTable digests;

	private final SharedKnowledge knowledge;

	private final StateBuilder states;

	private final StateCodec codec;

	private final Clock clock;

	DigestBuilder(LocalState local, PeerDirectory directory, DigestTable digests, SharedKnowledge knowledge,
			StateBuilder states, StateCodec codec, Clock clock) {
		this.local = local;
		this.directory = directory;
		this.digests = digests;
		this.knowledge = knowledge;
		this.states = states;
		this.codec = codec;
		this.clock = clock;
	}

	/**
	 * Collects what a digest contains.
	 * @param ownDataCentreOnly whether the other data centres are left out
	 * @return content of a digest
	 */
	Content collect(boolean ownDataCentreOnly) {
		long now = this.clock.millis();
		Map<DataCentreId, ReceivedDigest> others = ownDataCentreOnly ? Map.of() : this.digests.byDataCentre(now);
		List<DaemonLoad> members = members();
		Map<RunnerId, RunnerLoad> load = new HashMap<>(this.knowledge.loadTracker().ownLoads());
		members.forEach((member) -> addTo(load, member.load()));
		others.values().forEach((digest) -> addTo(load, digest.load()));
		load.values().removeIf(RunnerLoad.NONE::equals);
		return withRunners(load, members, others, now);
	}

	/**
	 * Returns the usage that daemons of the own data centre have reported directly.
	 * @return reports that have not expired
	 */
	List<DaemonLoad> members() {
		return this.knowledge.loadTracker()
			.reports()
			.stream()
			.filter((report) -> this.directory.isIn(report.daemon(), this.local.dataCentre()))
			.toList();
	}

	private static void addTo(Map<RunnerId, RunnerLoad> sum, Map<RunnerId, RunnerLoad> load) {
		load.forEach((runner, usage) -> sum.merge(runner, usage, RunnerLoad::plus));
	}

	private Content withRunners(Map<RunnerId, RunnerLoad> load, List<DaemonLoad> members,
			Map<DataCentreId, ReceivedDigest> others, long now) {
		Set<String> sources = new HashSet<>();
		others.values().forEach((digest) -> sources.add(digest.source()));
		ReportedRunners reported = this.knowledge.runnerAvailability()
			.reported((source) -> sources.contains(source) || this.directory.isIn(source, this.local.dataCentre()),
					REPORTED_RUNNERS_MILLIS);
		Set<RunnerId> lost = new HashSet<>(this.knowledge.runnerAvailability().lostRunners());
		lost.addAll(reported.lost());
		Set<RunnerId> changing = new HashSet<>(this.knowledge.runnerAvailability().changingRunners());
		changing.addAll(reported.changing());
		long configuration = this.local.configurationVersion().getAsLong();
		for (PeerState peer : this.directory.presentPeers()) {
			if (peer.dataCentre().equals(this.local.dataCentre())) {
				configuration = Math.max(configuration, peer.configurationVersion());
			}
		}
		StoreVersion runnerList = later(this.local.runnerListVersion().get(),
				this.directory.latestRunnerList(this.local.dataCentre()));
		for (ReceivedDigest digest : others.values()) {
			configuration = Math.max(configuration, digest.configuration());
			runnerList = later(runnerList, digest.runnerList());
		}
		Map<DataCentreId, Long> ages = new HashMap<>();
		others.forEach((dataCentre, digest) -> ages.put(dataCentre, now - digest.receivedMillis()));
		return new Content(load, members, lost, changing, configuration, runnerList, ages);
	}

	private static StoreVersion later(StoreVersion first, StoreVersion second) {
		return first.isBefore(second) ? second : first;
	}

	/**
	 * Encodes a digest under the next number.
	 * @param content content of the digest
	 * @param ownDataCentreOnly whether the other data centres are left out
	 * @return the datagram, the same for all receivers
	 */
	byte[] encode(Content content, boolean ownDataCentreOnly) {
		StateDigest.Builder builder = StateDigest.newBuilder()
			.setVm(this.local.vm())
			.setIncarnation(this.states.incarnation())
			.setSequence(this.states.nextSequence())
			.setDataCentre(this.local.dataCentre().value())
			.setOwnDataCentreOnly(ownDataCentreOnly)
			.setConfiguration(content.configuration())
			.setStoreEra(content.runnerList().era())
			.setRunnerList(content.runnerList().version())
			.addAllUsage(this.codec.encode(content.load()));
		content.lost().forEach((runner) -> builder.addLostRunners(runner.value()));
		content.changing().forEach((runner) -> builder.addChangingRunners(runner.value()));
		this.knowledge.partQuarantine()
			.report()
			.forEach((report) -> builder.addPromptParts(PartReportCodec.encode(report)));
		builder.addContained(contained(this.local.vm(), this.states.incarnation(), this.states.sequence()));
		content.members()
			.forEach((member) -> builder
				.addContained(contained(member.daemon(), member.incarnation(), member.sequence())));
		content.otherDataCentres()
			.forEach((dataCentre, age) -> builder
				.addDataCentres(DataCentreAge.newBuilder().setDataCentre(dataCentre.value()).setAge(age)));
		return FleetMessage.newBuilder().setDigest(builder).build().toByteArray();
	}

	private static ContainedState contained(String vm, long incarnation, long sequence) {
		return ContainedState.newBuilder().setVm(vm).setIncarnation(incarnation).setSequence(sequence).build();
	}

	/**
	 * Encodes the presence of the daemons that were heard lately, this one included.
	 * @param ownDataCentreOnly whether the other data centres are left out
	 * @return one datagram for each {@value #ROSTER_SIZE} daemons
	 */
	List<byte[]> rosters(boolean ownDataCentreOnly) {
		long oldest = this.clock.millis() - LISTED_MILLIS;
		List<PeerState> listed = new ArrayList<>();
		listed.add(this.states.presence());
		this.directory.all()
			.stream()
			.filter((peer) -> peer.receivedMillis() >= oldest
					&& (!ownDataCentreOnly || peer.dataCentre().equals(this.local.dataCentre())))
			.forEach(listed::add);
		List<byte[]> rosters = new ArrayList<>();
		for (int i = 0; i < listed.size(); i += ROSTER_SIZE) {
			rosters.add(roster(listed.subList(i, Math.min(listed.size(), i + ROSTER_SIZE))));
		}
		return rosters;
	}

	/**
	 * Encodes the presence of some daemons.
	 * @param peers last states of at most {@value #ROSTER_SIZE} daemons
	 * @return the datagram
	 */
	byte[] roster(Collection<PeerState> peers) {
		long now = this.clock.millis();
		Roster.Builder roster = Roster.newBuilder();
		peers.forEach((peer) -> roster.addDaemons(this.codec.encode(peer, now)));
		return FleetMessage.newBuilder().setRoster(roster).build().toByteArray();
	}

	/**
	 * Content of a digest.
	 *
	 * @param load requests of the contained daemons, by identifier of the runner or link
	 * @param members contained daemons of the own data centre besides this one
	 * @param lost runners that are lost
	 * @param changing runners that change their layers
	 * @param configuration newest configuration
	 * @param runnerList latest change of the list of runners
	 * @param otherDataCentres ages in milliseconds of what is contained of other data
	 * centres
	 */
	record Content(Map<RunnerId, RunnerLoad> load, List<DaemonLoad> members, Set<RunnerId> lost, Set<RunnerId> changing,
			long configuration, StoreVersion runnerList, Map<DataCentreId, Long> otherDataCentres) {

	}

}
