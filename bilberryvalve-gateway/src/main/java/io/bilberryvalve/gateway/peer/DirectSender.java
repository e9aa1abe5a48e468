package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.peer.StateExchange.LocalState;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.wire.proto.LoadMessages.DaemonState;

/**
 * Sends in a fleet without delegates: the state goes to all other daemons, less often to
 * those of other data centres and to absent ones. Confined to one thread.
 */
final class DirectSender {

	/** Number of periods between two states to an absent daemon. */
	private static final int ABSENT_PERIODS = 8;

	private final LocalState local;

	private final PeerDirectory directory;

	private final StateBuilder states;

	private final Clock clock;

	DirectSender(LocalState local, PeerDirectory directory, StateBuilder states, Clock clock) {
		this.local = local;
		this.directory = directory;
		this.states = states;
		this.clock = clock;
	}

	/**
	 * Builds the messages of a period.
	 * @param toAll whether to include daemons that get every few states only
	 * @return messages to send
	 */
	List<OutgoingMessage> send(boolean toAll) {
		DaemonState state = this.states.build();
		long now = this.clock.millis();
		Set<Address> near = sameDataCentreAddresses();
		int crossEvery = this.directory.crossDataCentrePeriods();
		List<Address> whole = new ArrayList<>();
		List<Address> brief = new ArrayList<>();
		long sequence = state.getSequence();
		this.directory.targets().forEach((address, heard) -> {
			int every = (now - heard >= this.directory.absentMillis()) ? ABSENT_PERIODS
					: near.contains(address) ? 1 : crossEvery;
			if (toAll || sequence % every == 0) {
				boolean shortened = every > 1 && sequence / every % 2 != 0;
				(shortened ? brief : whole).add(address);
			}
		});
		List<OutgoingMessage> messages = new ArrayList<>();
		messages.add(new OutgoingMessage(MessageKind.STATE, state.toByteArray(), whole));
		if (!brief.isEmpty()) {
			messages.add(new OutgoingMessage(MessageKind.STATE,
					state.toBuilder().clearUsage().setWithoutUsage(true).build().toByteArray(), brief));
		}
		return messages;
	}

	private Set<Address> sameDataCentreAddresses() {
		return this.directory.all()
			.stream()
			.filter((peer) -> peer.dataCentre().equals(this.local.dataCentre()))
			.map(PeerState::stateAddress)
			.collect(Collectors.toSet());
	}

}
