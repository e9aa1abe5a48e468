package io.bilberryvalve.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.gateway.fleet.Trust;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.bilberryvalve.wire.proto.LoadMessages.DaemonState;
import io.bilberryvalve.wire.proto.LoadMessages.RunnerUsage;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.jspecify.annotations.Nullable;

/**
 * Tells the other daemons several times a second who this daemon is and which requests it
 * has at runners. A lost datagram is replaced by the next one. Daemons learn of each
 * other from the list in the store and from the datagrams themselves.
 */
public final class StateExchange {

	private static final System.Logger LOGGER = System.getLogger(StateExchange.class.getName());

	/** Limits how long two daemons can give away the same place. */
	private static final long SEND_PERIOD_MILLIS = 150;

	/** Seven lost datagrams in a row; callers are no longer sent to the daemon. */
	private static final long MIN_ABSENT_MILLIS = 1100;

	/**
	 * Longest interval to other data centres, in periods; loads seen there are that old.
	 */
	private static final int MAX_CROSS_PERIODS = 4;

	/** Daemons for each further period between states to other data centres. */
	private static final int DAEMONS_PER_CROSS_PERIOD = 7;

	/**
	 * States from another data centre that may be lost in a row before a daemon is
	 * absent.
	 */
	private static final int TOLERATED_CROSS_LOSSES = 3;

	/** A daemon that has been silent for this time is taken to have ended. */
	private static final long ENDED_AFTER_MILLIS = 2000;

	/** A daemon that has been absent for this time is no longer written to. */
	private static final long TARGET_RETENTION_MILLIS = 60_000;

	/** Absent daemons get each so-manieth state only. */
	private static final int ABSENT_PERIODS = 8;

	private final Transport transport;

	private final LocalState local;

	private final LoadBook loadTracker;

	private final Trust runnerAvailability;

	private final Clock clock;

	private final long incarnation;

	private final long startedAt;

	private final Map<Address, Long> targets = new ConcurrentHashMap<>();

	private final Map<String, PeerState> peers = new ConcurrentHashMap<>();

	private LongConsumer onNewerConfiguration = (version) -> {
	};

	private @Nullable Channel channel;

	private long sequence;

	/**
	 * Creates an exchange without peers.
	 * @param transport event loops
	 * @param self what to say of this daemon
	 * @param loads load to report and to fill
	 * @param trust lost runners to report and to fill
	 * @param clock monotonic clock
	 * @param incarnation start of this daemon, rising in time
	 */
	public StateExchange(Transport transport, LocalState self, LoadBook loads, Trust trust, Clock clock,
			long incarnation) {
		this.transport = transport;
		this.local = self;
		this.loadTracker = loads;
		this.runnerAvailability = trust;
		this.clock = clock;
		this.incarnation = incarnation;
		this.startedAt = clock.millis();
	}

	/**
	 * Sets what to do when a peer has a newer configuration than this daemon.
	 * @param action receives the version
	 */
	public void onNewerConfiguration(LongConsumer action) {
		this.onNewerConfiguration = action;
	}

	/**
	 * Starts to receive and to send.
	 * @throws IllegalStateException if the address cannot be used
	 */
	public void start() {
		Address address = this.local.stateAddress();
		ChannelFuture bound = this.transport.datagramBootstrap()
			.handler(new StateReceiver())
			.bind(address.host(), address.port())
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IllegalStateException("cannot receive states at " + address + "; check that the port is free",
					bound.cause());
		}
		this.channel = bound.channel();
		bound.channel()
			.eventLoop()
			.scheduleWithFixedDelay(this::send, SEND_PERIOD_MILLIS, SEND_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Adds an address that may belong to a daemon.
	 * @param address where it receives states
	 */
	public void addTarget(Address address) {
		if (!address.equals(this.local.stateAddress())) {
			this.targets.putIfAbsent(address, this.clock.millis());
		}
	}

	/**
	 * Returns the daemons that were heard recently.
	 * @return their states
	 */
	public List<PeerState> presentPeers() {
		long oldest = this.clock.millis() - absentMillis();
		return this.peers.values().stream().filter((peer) -> peer.receivedMillis() >= oldest).toList();
	}

	/**
	 * Returns the number of daemons that are known.
	 * @return this daemon and those that were heard or learned of within a minute
	 */
	public int knownCount() {
		return this.targets.size() + 1;
	}

	/**
	 * Tells whether this daemon has the least name of all that are present, serve and
	 * reach the store.
	 * @return whether it should do what one daemon does for all
	 */
	public boolean isLeader() {
		return this.local.storeReachable().getAsBoolean() && presentPeers().stream()
			.noneMatch((peer) -> peer.serving() && peer.storeReachable() && peer.vm().compareTo(this.local.vm()) < 0);
	}

	/**
	 * Tells whether a start of another daemon has ended: it was heard, and no longer is
	 * or has started again, or this daemon has listened for a while without hearing it.
	 * @param vm name of the daemon
	 * @param start its incarnation
	 * @return whether it no longer acts
	 */
	public boolean hasEnded(String vm, long start) {
		if (vm.equals(this.local.vm())) {
			return start != this.incarnation;
		}
		long now = this.clock.millis();
		PeerState peer = this.peers.get(vm);
		if (peer == null) {
			return now - this.startedAt >= ENDED_AFTER_MILLIS;
		}
		return peer.incarnation() != start || !peer.serving() || !peer.storeReachable()
				|| now - peer.receivedMillis() > ENDED_AFTER_MILLIS;
	}

	/**
	 * Sends the state at once.
	 */
	public void sendNow() {
		Channel own = this.channel;
		if (own != null) {
			own.eventLoop().execute(this::send);
		}
	}

	private void send() {
		Channel own = this.channel;
		if (own == null) {
			return;
		}
		this.loadTracker.expire();
		this.sequence++;
		byte[] bytes = buildState().toByteArray();
		long now = this.clock.millis();
		this.targets.values().removeIf((heard) -> now - heard > TARGET_RETENTION_MILLIS);
		Set<Address> near = sameDataCentreAddresses();
		int crossEvery = crossDataCentrePeriods(this.targets.size());
		this.targets.forEach((address, heard) -> {
			int every = (now - heard >= absentMillis()) ? ABSENT_PERIODS : near.contains(address) ? 1 : crossEvery;
			if (this.sequence % every == 0) {
				own.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes),
						new InetSocketAddress(address.host(), address.port())));
			}
		});
		own.flush();
	}

	private Set<Address> sameDataCentreAddresses() {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.dataCentre().equals(this.local.dataCentre()))
			.map(PeerState::stateAddress)
			.collect(Collectors.toSet());
	}

	// Traffic between data centres grows with the square of the daemons, so many write
	// less often.
	private static int crossDataCentrePeriods(int daemons) {
		return Math.max(1, Math.min(MAX_CROSS_PERIODS, daemons / DAEMONS_PER_CROSS_PERIOD));
	}

	private long absentMillis() {
		return Math.max(MIN_ABSENT_MILLIS,
				TOLERATED_CROSS_LOSSES * crossDataCentrePeriods(this.targets.size()) * SEND_PERIOD_MILLIS);
	}

	private DaemonState buildState() {
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
			.setConfiguration(this.local.configurationVersion().getAsLong());
		this.runnerAvailability.losses().forEach((runner) -> builder.addLostRunners(runner.value()));
		this.runnerAvailability.changing().forEach((runner) -> builder.addChangingRunners(runner.value()));
		this.loadTracker.own()
			.forEach((runner,
					usage) -> builder.addUsage(RunnerUsage.newBuilder()
						.setRunner(runner.value())
						.setRunning(usage.running())
						.setTokenLayers(usage.tokenLayers())
						.setEntered(usage.entered())
						.setUnreadLayers(usage.unreadLayers())));
		return builder.build();
	}

	private void receive(byte[] bytes) {
		try {
			DaemonState state = DaemonState.parseFrom(bytes);
			PeerState peer = new PeerState(state.getVm(), state.getIncarnation(), state.getSequence(),
					new DataCentreId(state.getDataCentre()), Address.parse(state.getCallerAddress()),
					Address.parse(state.getStateAddress()), state.getServing(), state.getLeaving(),
					state.getStoreReachable(), state.getConfiguration(), runners(state.getLostRunnersList()),
					runners(state.getChangingRunnersList()), this.clock.millis());
			if (accept(peer)) {
				this.loadTracker.report(peer.vm(), usage(state));
				this.runnerAvailability.report(peer.vm(), peer.lostRunners(), peer.changingRunners());
			}
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			LogEvent.of("state-unreadable").with("cause", ex.getMessage()).log(LOGGER, System.Logger.Level.WARNING);
		}
	}

	private boolean accept(PeerState peer) {
		PeerState before = this.peers.get(peer.vm());
		boolean old = before != null && peer.receivedMillis() - before.receivedMillis() < absentMillis()
				&& (peer.incarnation() < before.incarnation()
						|| (peer.incarnation() == before.incarnation() && peer.sequence() <= before.sequence()));
		if (old || peer.vm().equals(this.local.vm())) {
			return false;
		}
		this.peers.put(peer.vm(), peer);
		this.targets.put(peer.stateAddress(), peer.receivedMillis());
		if (before == null || before.incarnation() != peer.incarnation() || before.serving() != peer.serving()) {
			LogEvent.of("peer-heard")
				.with("vm", peer.vm())
				.with("incarnation", peer.incarnation())
				.with("serving", peer.serving())
				.log(LOGGER, System.Logger.Level.INFO);
		}
		if (peer.configurationVersion() > this.local.configurationVersion().getAsLong()) {
			this.onNewerConfiguration.accept(peer.configurationVersion());
		}
		return true;
	}

	private static Set<RunnerId> runners(List<String> names) {
		return names.stream().map(RunnerId::new).collect(Collectors.toSet());
	}

	private static Map<RunnerId, RunnerLoad> usage(DaemonState state) {
		Map<RunnerId, RunnerLoad> usage = new HashMap<>();
		for (RunnerUsage one : state.getUsageList()) {
			usage.put(new RunnerId(one.getRunner()),
					new RunnerLoad(one.getRunning(), one.getTokenLayers(), one.getEntered(), one.getUnreadLayers()));
		}
		return usage;
	}

	/**
	 * What this daemon says of itself.
	 *
	 * @param vm its name
	 * @param dataCentre where it stands
	 * @param callerAddress where callers connect
	 * @param stateAddress where it receives states
	 * @param serving whether callers should use it
	 * @param leaving whether it is stopping
	 * @param storeReachable whether it reaches the store
	 * @param configurationVersion version of its configuration, 0 for none
	 */
	public record LocalState(String vm, DataCentreId dataCentre, Address callerAddress, Address stateAddress,
			BooleanSupplier serving, BooleanSupplier leaving, BooleanSupplier storeReachable,
			LongSupplier configurationVersion) {

	}

	/** Passes datagrams on. */
	private final class StateReceiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext own, DatagramPacket packet) {
			receive(ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext own, Throwable cause) {
			LogEvent.of("state-socket-failed").with("cause", cause).log(LOGGER, System.Logger.Level.WARNING);
		}

	}

}
