package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.gateway.peer.StateExchange.LocalState;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.bilberryvalve.wire.proto.LoadMessages.DaemonState;

/**
 * Builds the messages on this daemon alone, and numbers all messages of this daemon.
 * Confined to one thread.
 */
final class StateBuilder {

	private final LocalState local;

	private final SharedKnowledge knowledge;

	private final Clock clock;

	private final long incarnation;

	private final StateCodec codec;

	private final SentReports sent = new SentReports();

	private long sequence;

	StateBuilder(LocalState local, SharedKnowledge knowledge, Clock clock, long incarnation, StateCodec codec) {
		this.local = local;
		this.knowledge = knowledge;
		this.clock = clock;
		this.incarnation = incarnation;
		this.codec = codec;
	}

	/**
	 * Returns what was sent in the latest states.
	 * @return a view that follows all changes
	 */
	SentReports sent() {
		return this.sent;
	}

	long incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns the number of the last message.
	 * @return number of messages that were numbered
	 */
	long sequence() {
		return this.sequence;
	}

	/**
	 * Numbers a message that is not a state.
	 * @return the number of the message
	 */
	long nextSequence() {
		return ++this.sequence;
	}

	/**
	 * Builds the state of this daemon with its usage, under the next number.
	 * @return the message
	 */
	DaemonState build() {
		this.sequence++;
		Map<RunnerId, RunnerLoad> load = this.knowledge.loadTracker().ownLoads();
		Set<RunnerId> lost = this.knowledge.runnerAvailability().lostRunners();
		Set<RunnerId> changing = this.knowledge.runnerAvailability().changingRunners();
		this.sent.add(this.sequence, new SentReports.SentReport(load, lost, changing));
		StoreVersion runnerList = this.local.runnerListVersion().get();
		DaemonState.Builder builder = DaemonState.newBuilder()
			.setVm(this.local.vm())
			.setIncarnation(this.incarnation)
			.setSequence(this.sequence)
			.setDataCentre(this.local.dataCentre().value())
			.setCallerAddress(this.local.callerAddress().toString())
			.setStateAddress(this.local.stateAddress().toString())
			.setServing(this.local.serving().getAsBoolean())
			.setLeaving(this.local.leaving().getAsBoolean())
			.setStoreReachable(this.local.storeReachable().getAsBoolean())
			.setConfiguration(this.local.configurationVersion().getAsLong())
			.setCapacity(this.local.capacity())
			.setStoreEra(runnerList.era())
			.setRunnerList(runnerList.version())
			.addAllUsage(this.codec.encode(load));
		lost.forEach((runner) -> builder.addLostRunners(runner.value()));
		changing.forEach((runner) -> builder.addChangingRunners(runner.value()));
		this.knowledge.partQuarantine()
			.report()
			.forEach((report) -> builder.addPromptParts(PartReportCodec.encode(report)));
		return builder.build();
	}

	/**
	 * Returns the state of this daemon as an entry of a roster, under the next number.
	 * @return the state without usage and runners
	 */
	PeerState presence() {
		return new PeerState(this.local.vm(), this.incarnation, nextSequence(), this.local.dataCentre(),
				this.local.callerAddress(), this.local.stateAddress(), this.local.serving().getAsBoolean(),
				this.local.leaving().getAsBoolean(), this.local.storeReachable().getAsBoolean(),
				this.local.configurationVersion().getAsLong(), Set.of(), Set.of(), this.local.capacity(),
				this.clock.millis());
	}

}
