package io.bilberryvalve.gateway.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import io.bilberryvalve.wire.proto.LoadMessages.DaemonState;
import io.bilberryvalve.wire.proto.LoadMessages.PromptCrash;
import io.bilberryvalve.wire.proto.LoadMessages.PromptPart;
import io.bilberryvalve.wire.proto.LoadMessages.RunnerUsage;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class StateExchangeTests {

	private static final DataCentreId HERE = new DataCentreId("a");

	/** Number of times that a state is sent until the exchange answers to its address. */
	private static final int SENDS = 20;

	private static final int ANSWER_MILLIS = 500;

	private final MonotonicClock clock = new MonotonicClock();

	private final LoadTracker loadTracker = new LoadTracker(this.clock);

	private final BlockingQueue<StoreVersion> newerRunnerLists = new LinkedBlockingQueue<>();

	private StateExchange exchange;

	private long sequence;

	private void with(Check check) throws IOException {
		try (Transport transport = new Transport(1);
				DatagramSocket peer = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
			peer.setSoTimeout(ANSWER_MILLIS);
			Address address = freeAddress();
			this.exchange = new StateExchange(transport,
					new StateExchange.LocalState("self", HERE, address, address, 1, () -> true, () -> false, () -> true,
							() -> 1, () -> new StoreVersion(0, 40)),
					this.loadTracker, new RunnerAvailability(this.clock), new PartQuarantine(this.clock), this.clock,
					1);
			this.exchange.onNewerRunnerList(this.newerRunnerLists::add);
			this.exchange.start();
			check.run(new Peer(peer, address));
		}
	}

	private static Address freeAddress() throws IOException {
		try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
			return new Address("127.0.0.1", socket.getLocalPort());
		}
	}

	private DaemonState.Builder state(Peer peer) {
		return DaemonState.newBuilder()
			.setVm("peer")
			.setIncarnation(1)
			.setSequence(++this.sequence)
			.setDataCentre("a")
			.setCallerAddress("10.0.0.1:80")
			.setStateAddress("127.0.0.1:" + peer.socket.getLocalPort())
			.setServing(true)
			.setStoreReachable(true);
	}

	private boolean isHeard(Peer peer, Consumer<DaemonState.Builder> change) throws IOException {
		for (int i = 0; i < SENDS; i++) {
			DaemonState.Builder state = state(peer);
			change.accept(state);
			peer.send(state.build().toByteArray());
			if (peer.receives()) {
				return true;
			}
		}
		return false;
	}

	// Guards against slots that are granted twice: a state that is cut off cannot be
	// read,
	// and its load does not count.
	@Example
	void stateWithTheLoadOfManyRunnersIsHeard() throws IOException {
		with((peer) -> {
			assertThat(isHeard(peer, (state) -> {
				for (int i = 0; i < 400; i++) {
					state.addUsage(RunnerUsage.newBuilder()
						.setRunner("i-" + Integer.toHexString(0x7f3a0000 + i))
						.setRunning(100)
						.setTokenLayers(1_000_000)
						.setUnreadLayers(1_000_000));
				}
			})).isTrue();
			assertThat(this.loadTracker.of(new RunnerId("i-" + Integer.toHexString(0x7f3a0000 + 399))).running())
				.isEqualTo(100);
		});
	}

	@Example
	void peerIsHeardAfterDatagramsThatAreNoStates() throws IOException {
		Random random = new Random(190503);
		with((peer) -> {
			byte[] good = state(peer).build().toByteArray();
			for (int i = 0; i < 500; i++) {
				byte[] odd = (i % 2 == 0) ? new byte[random.nextInt(1500)]
						: Arrays.copyOf(good, 1 + random.nextInt(good.length));
				if (i % 2 == 0) {
					random.nextBytes(odd);
				}
				else {
					odd[random.nextInt(odd.length)] ^= (byte) (1 << random.nextInt(8));
				}
				peer.send(odd);
			}
			assertThat(isHeard(peer, (state) -> state.setVm("other"))).isTrue();
		});
	}

	@Example
	void peerIsHeardAfterStatesWithImpossibleNumbers() throws IOException {
		with((peer) -> {
			for (long number : new long[] { Long.MIN_VALUE, -1, 0, Long.MAX_VALUE }) {
				peer.send(state(peer).setVm("odd")
					.setIncarnation(number)
					.setSequence(number)
					.setConfiguration(number)
					.addUsage(RunnerUsage.newBuilder()
						.setRunner("r")
						.setRunning((int) number)
						.setEntered((int) number)
						.setTokenLayers(number)
						.setUnreadLayers(number))
					.addPromptParts(PromptPart.newBuilder()
						.setPart("p")
						.setAnsweredAge(number)
						.addCrashes(PromptCrash.newBuilder().setAge(number).setPrompt(number).setRunner(number)))
					.build()
					.toByteArray());
			}
			assertThat(isHeard(peer, (state) -> state.setVm("other"))).isTrue();
		});
	}

	// Guards against an event loop that waits for the look-up of a name.
	@Example
	void stateWithAHostNameIsRefused() throws IOException {
		with((peer) -> {
			peer.send(state(peer).setStateAddress("localhost:" + peer.socket.getLocalPort()).build().toByteArray());
			peer.send(state(peer).setCallerAddress("entry.example:80").build().toByteArray());
			assertThat(peer.receives()).isFalse();
			assertThat(isHeard(peer, (state) -> {
			})).isTrue();
		});
	}

	// Guards against loads that vanish because a state leaves them out.
	@Example
	void stateWithoutUsageKeepsTheLoad() throws IOException {
		with((peer) -> {
			RunnerUsage.Builder usage = RunnerUsage.newBuilder().setRunner("r").setRunning(3);
			assertThat(isHeard(peer, (state) -> state.addUsage(usage))).isTrue();
			assertThat(isHeard(peer, (state) -> state.setWithoutUsage(true))).isTrue();
			assertThat(this.loadTracker.of(new RunnerId("r")).running()).isEqualTo(3);
			assertThat(isHeard(peer, (state) -> {
			})).isTrue();
			assertThat(this.loadTracker.of(new RunnerId("r")).running()).isZero();
		});
	}

	// Guards against a change of the list of runners that daemons notice late which read
	// the store seldom.
	@Example
	void laterRunnerListOfAPeerIsReported() throws IOException, InterruptedException {
		with((peer) -> {
			peer.send(state(peer).setRunnerList(39).build().toByteArray());
			peer.send(state(peer).setRunnerList(40).build().toByteArray());
			peer.send(state(peer).setRunnerList(41).build().toByteArray());
			assertThat(isHeard(peer, (state) -> {
			})).isTrue();
		});
		assertThat(this.newerRunnerLists).containsExactly(new StoreVersion(0, 41));
	}

	// Guards against fleets in which all daemons read the store often, or none does.
	@Example
	void twoDaemonsWithTheLeastNamesReadOften() throws IOException {
		with((peer) -> {
			assertThat(this.exchange.isReader()).isTrue();
			assertThat(isHeard(peer, (state) -> state.setVm("a"))).isTrue();
			assertThat(isHeard(peer, (state) -> state.setVm("z"))).isTrue();
			assertThat(this.exchange.isReader()).isTrue();
			assertThat(isHeard(peer, (state) -> state.setVm("b"))).isTrue();
			assertThat(this.exchange.isReader()).isFalse();
			peer.send(state(peer).setVm("b").setStoreReachable(false).build().toByteArray());
			assertThat(isHeard(peer, (state) -> state.setVm("z"))).isTrue();
			assertThat(this.exchange.isReader()).isTrue();
		});
	}

	/** Check that uses a running exchange. */
	private interface Check {

		/**
		 * Runs the check.
		 * @param peer socket of another daemon
		 * @throws IOException if a datagram cannot be sent
		 */
		void run(Peer peer) throws IOException;

	}

	/**
	 * Socket of another daemon.
	 *
	 * @param socket the socket
	 * @param exchange address of the exchange
	 */
	private record Peer(DatagramSocket socket, Address exchange) {

		void send(byte[] bytes) throws IOException {
			this.socket.send(new DatagramPacket(bytes, bytes.length,
					new InetSocketAddress(this.exchange.host(), this.exchange.port())));
		}

		boolean receives() throws IOException {
			try {
				this.socket.receive(new DatagramPacket(new byte[4096], 4096));
				return true;
			}
			catch (SocketTimeoutException ex) {
				return false;
			}
		}

	}

}
