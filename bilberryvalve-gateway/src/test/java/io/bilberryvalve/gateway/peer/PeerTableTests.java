package io.bilberryvalve.gateway.peer;

import java.util.Set;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTableTests {

	private static final long ABSENT_MILLIS = 1100;

	private final PeerTable peers = new PeerTable();

	private boolean add(long incarnation, long sequence, long at) {
		return add("vm", incarnation, sequence, at);
	}

	private boolean add(String vm, long incarnation, long sequence, long at) {
		Address address = new Address("10.0.0.1", 80);
		return this.peers.add(new PeerState(vm, incarnation, sequence, new DataCentreId("a"), address, address, true,
				false, true, 1, Set.of(), Set.of(), 1, at), ABSENT_MILLIS);
	}

	// Guards against a daemon that is taken to serve again because of a datagram that was
	// held up while the daemon was silent.
	@Example
	void lateStateDoesNotReplaceALaterOneOfASilentDaemon() {
		assertThat(add(5, 10, 0)).isTrue();
		assertThat(add(5, 9, 5000)).isFalse();
		assertThat(add(5, 10, 5000)).isFalse();
		assertThat(add(5, 11, 5000)).isTrue();
	}

	@Example
	void lateStatesOfAnEarlierStartDoNotReplaceALaterOne() {
		add(5, 10, 0);
		assertThat(add(4, 900, 500)).isFalse();
		assertThat(add(4, 901, 5000)).isFalse();
		assertThat(add(4, 902, 5001)).isFalse();
		assertThat(this.peers.get("vm")).extracting(PeerState::incarnation).isEqualTo(5L);
	}

	// Guards against a daemon that is never heard again because its clock was set back
	// before its start.
	@Example
	void daemonWithALowerIncarnationIsHeardAfterTheSilence() {
		add(5, 10, 0);
		assertThat(add(4, 1, 1000)).isFalse();
		assertThat(add(4, 2, 1150)).isFalse();
		assertThat(add(4, 3, 1300)).isTrue();
		assertThat(add(4, 2, 1450)).isFalse();
	}

	@Example
	void laterStartReplacesAnEarlierOne() {
		add(5, 10, 0);
		assertThat(add(6, 1, 1)).isTrue();
		assertThat(this.peers.all()).hasSize(1);
	}

	// Guards against a sender of states with ever new names that fills the memory.
	@Example
	void numberOfDaemonsIsLimited() {
		add(1, 1, 0);
		for (int i = 0; i < 2 * PeerTable.MAX_DAEMONS; i++) {
			add("invented-" + i, 1, 1, 1000);
		}
		assertThat(this.peers.all()).hasSize(PeerTable.MAX_DAEMONS);
		assertThat(add(1, 2, 2000)).isTrue();
		assertThat(add("late", 1, 1, 30_000)).isFalse();
		add(1, 3, 30_000);
		assertThat(add("late", 1, 1, 62_000)).isTrue();
		assertThat(this.peers.all()).extracting(PeerState::vm).containsExactlyInAnyOrder("vm", "late");
	}

}
