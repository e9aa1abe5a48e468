package io.bilberryvalve.gateway.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.http.IpAddresses;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.bilberryvalve.wire.proto.LoadMessages.DaemonPresence;
import io.bilberryvalve.wire.proto.LoadMessages.DaemonState;
import io.bilberryvalve.wire.proto.LoadMessages.RunnerUsage;

/**
 * Converts states of daemons and usage of runners to messages and back. Confined to one
 * thread.
 */
final class StateCodec {

	/** Number of identifiers of runners that are kept; more than a fleet has. */
	private static final int MAX_KNOWN_RUNNERS = 20_000;

	/**
	 * Identifiers in received messages, which name the same runners many times a second.
	 */
	private final Map<String, RunnerId> knownRunners = new HashMap<>();

	/**
	 * Decodes the state of another daemon.
	 * @param state the message
	 * @param now time of its arrival in milliseconds
	 * @return the state without usage
	 * @throws IllegalArgumentException if an address is malformed, or a name is empty
	 */
	PeerState decode(DaemonState state, long now) {
		return new PeerState(state.getVm(), state.getIncarnation(), state.getSequence(),
				new DataCentreId(state.getDataCentre()), IpAddresses.parse(state.getCallerAddress()),
				IpAddresses.parse(state.getStateAddress()), state.getServing(), state.getLeaving(),
				state.getStoreReachable(), state.getConfiguration(), runners(state.getLostRunnersList()),
				runners(state.getChangingRunnersList()), state.getCapacity(), now);
	}

	/**
	 * Decodes an entry of a roster.
	 * @param entry the entry
	 * @param now time of the arrival of the roster in milliseconds
	 * @return the state without usage and runners
	 * @throws IllegalArgumentException if an address is malformed, or a name is empty
	 */
	PeerState decode(DaemonPresence entry, long now) {
		if (entry.getVm().isEmpty()) {
			throw new IllegalArgumentException("an entry of a roster has no VM");
		}
		return new PeerState(entry.getVm(), entry.getIncarnation(), entry.getSequence(),
				new DataCentreId(entry.getDataCentre()), IpAddresses.parse(entry.getCallerAddress()),
				IpAddresses.parse(entry.getStateAddress()), entry.getServing(), entry.getLeaving(),
				entry.getStoreReachable(), entry.getConfiguration(), Set.of(), Set.of(), entry.getCapacity(),
				now - Math.max(0, entry.getAge()));
	}

	/**
	 * Encodes the presence of another daemon.
	 * @param peer its last state
	 * @param now time of the roster in milliseconds
	 * @return entry of a roster
	 */
	DaemonPresence encode(PeerState peer, long now) {
		return DaemonPresence.newBuilder()
			.setVm(peer.vm())
			.setIncarnation(peer.incarnation())
			.setSequence(peer.sequence())
			.setDataCentre(peer.dataCentre().value())
			.setCallerAddress(peer.callerAddress().toString())
			.setStateAddress(peer.stateAddress().toString())
			.setServing(peer.serving())
			.setLeaving(peer.leaving())
			.setStoreReachable(peer.storeReachable())
			.setConfiguration(peer.configurationVersion())
			.setCapacity(peer.capacity())
			.setAge(Math.max(0, now - peer.receivedMillis()))
			.build();
	}

	List<RunnerUsage> encode(Map<RunnerId, RunnerLoad> load) {
		return load.entrySet().stream().map((entry) -> encode(entry.getKey(), entry.getValue())).toList();
	}

	private static RunnerUsage encode(RunnerId runner, RunnerLoad usage) {
		return RunnerUsage.newBuilder()
			.setRunner(runner.value())
			.setRunning(usage.running())
			.setTokenLayers(usage.tokenLayers())
			.setEntered(usage.firstHops())
			.setUnreadLayers(usage.prefillTokenLayers())
			.build();
	}

	Map<RunnerId, RunnerLoad> usage(List<RunnerUsage> entries) {
		Map<RunnerId, RunnerLoad> usage = new HashMap<>();
		if (this.knownRunners.size() > MAX_KNOWN_RUNNERS) {
			this.knownRunners.clear();
		}
		for (RunnerUsage entry : entries) {
			RunnerId runner = this.knownRunners.computeIfAbsent(entry.getRunner(), RunnerId::new);
			usage.put(runner, new RunnerLoad(entry.getRunning(), entry.getTokenLayers(), entry.getEntered(),
					entry.getUnreadLayers()));
		}
		return usage;
	}

	static Set<RunnerId> runners(Collection<String> names) {
		return names.stream().map(RunnerId::new).collect(Collectors.toSet());
	}

}
