package io.bilberryvalve.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.http.IpAddresses;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
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
 * Exchanges states with the other daemons. Several times a second this daemon sends a
 * datagram with its identity, the requests that it has at runners, and the runners that
 * are lost or change their layers. A lost datagram is made up for by the next one.
 * Daemons discover each other by the list in the store and by the datagrams themselves.
 */
public final class StateExchange {

	private static final System.Logger LOGGER = System.getLogger(StateExchange.class.getName());

	/**
	 * Period of sending. It limits the time during which two daemons can grant the same
	 * slot.
	 */
	private static final long SEND_PERIOD_MILLIS = 150;

	/**
	 * Shortest silence after which a daemon is absent, about seven lost datagrams in a
	 * row. Callers are no longer directed to an absent daemon.
	 */
	private static final long MIN_ABSENT_MILLIS = 1100;

	/**
	 * Largest number of periods between two states to another data centre. Every second
	 * one leaves out the usage of runners, which is the largest part, so that the loads
	 * seen there can be twice as old.
	 */
	private static final int MAX_CROSS_PERIODS = 4;

	/**
	 * Number of known daemons for each period between two states to another data centre.
	 */
	private static final int DAEMONS_PER_CROSS_PERIOD = 7;

	/**
	 * Number of states from another data centre that may be lost in a row before their
	 * sender is absent.
	 */
	private static final int TOLERATED_CROSS_LOSSES = 3;

	/** Silence after which a daemon is considered to have ended. */
	private static final long ENDED_AFTER_MILLIS = 2000;

	/** Silence after which no more states are sent to a daemon. */
	private static final long TARGET_RETENTION_MILLIS = 60_000;

	/** Number of identifiers of runners that are kept; more than a fleet has. */
	private static final int MAX_KNOWN_RUNNERS = 20_000;

	/** Number of daemons that read the store often; one of them may fail at any time. */
	private static final int READERS = 2;

	/** Least time between two log lines on datagrams that are no states. */
	private static final long UNREADABLE_LOG_MILLIS = 1000;

	/** Number of periods between two states to an absent daemon. */
	private static final int ABSENT_PERIODS = 8;

	private final Transport transport;

	private final LocalState local;

	private final LoadTracker loadTracker;

	private final RunnerAvailability runnerAvailability;

	private final PartQuarantine partQuarantine;

	private final Clock clock;

	private final long incarnation;

	private final long startedAt;

	private final Map<Address, Long> targets = new ConcurrentHashMap<>();

	private final PeerTable peers = new PeerTable();

	private final Delegates delegates;

	private LongConsumer onNewerConfiguration = (version) -> {
	};

	private Consumer<StoreVersion> onNewerRunnerList = (version) -> {
	};

	private @Nullable Channel channel;

	private long sequence;

	/**
	 * Identifiers in received states, which name the same runners many times a second.
	 * Confined to the event loop that receives states.
	 */
	private final Map<String, RunnerId> knownRunners = new HashMap<>();

	private final VersionLag versionLag;

	/** Number of datagrams that were no states; confined like {@link #knownRunners}. */
	private long unreadableStates;

	private long unreadableLoggedAt;

	/**
	 * Creates an exchange without peers.
	 * @param transport event loops
	 * @param local state of this daemon
	 * @param loadTracker load of runners; supplies the usage to send and takes the usage
	 * that other daemons report
	 * @param runnerAvailability availability of runners; supplies the lost and changing
	 * runners to send and takes those that other daemons report
	 * @param partQuarantine suspected prompt parts; supplies what this daemon has seen
	 * and takes what other daemons report
	 * @param clock monotonic clock
	 * @param incarnation number of this start of the daemon; each later start has a
	 * higher number
	 */
	public StateExchange(Transport transport, LocalState local, LoadTracker loadTracker,
			RunnerAvailability runnerAvailability, PartQuarantine partQuarantine, Clock clock, long incarnation) {
		this.transport = transport;
		this.local = local;
		this.loadTracker = loadTracker;
		this.runnerAvailability = runnerAvailability;
		this.partQuarantine = partQuarantine;
		this.clock = clock;
		this.incarnation = incarnation;
		this.startedAt = clock.millis();
		this.unreadableLoggedAt = this.startedAt - UNREADABLE_LOG_MILLIS;
		this.versionLag = new VersionLag(clock);
		this.delegates = new Delegates(local, this::presentPeers, this::knownCount);
	}

	/**
	 * Sets the action to run when a peer has a newer configuration than this daemon.
	 * @param action receives the version, on the event loop that receives states
	 */
	public void onNewerConfiguration(LongConsumer action) {
		this.onNewerConfiguration = action;
	}

	/**
	 * Sets the action to run when a peer knows a later change of the list of runners than
	 * this daemon.
	 * @param action receives the version of the store with the change, on the event loop
	 * that receives states; it may run several times for one change
	 */
	public void onNewerRunnerList(Consumer<StoreVersion> action) {
		this.onNewerRunnerList = action;
	}

	/**
	 * Starts to receive and to send states.
	 * @throws IllegalStateException if the address cannot be bound
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
		GuardedTask.repeat(bound.channel().eventLoop(), "send-state", () -> send(false),
				Duration.ofMillis(SEND_PERIOD_MILLIS));
	}

	/**
	 * Adds an address to which states are sent.
	 * @param address address on which a daemon may receive states
	 */
	public void addTarget(Address address) {
		if (!address.equals(this.local.stateAddress()) && this.targets.size() < PeerTable.MAX_DAEMONS) {
			this.targets.putIfAbsent(address, this.clock.millis());
		}
	}

	/**
	 * Returns the daemons from which a state has arrived recently.
	 * @return their last states
	 */
	public List<PeerState> presentPeers() {
		long oldest = this.clock.millis() - absentMillis();
		return this.peers.all().stream().filter((peer) -> peer.receivedMillis() >= oldest).toList();
	}

	/**
	 * Returns the number of known daemons.
	 * @return number of daemons that were heard or added within the last minute, plus one
	 * for this daemon
	 */
	public int knownCount() {
		return this.targets.size() + 1;
	}

	/**
	 * Returns the delegates of the data centres.
	 * @return a view that follows all changes
	 */
	public Delegates delegates() {
		return this.delegates;
	}

	/**
	 * Returns whether this daemon is the leader: it reaches the store, and no other
	 * daemon that is present, serves and reaches the store has a lesser name.
	 * @return {@code true} if this daemon should do the work that one daemon does for all
	 */
	public boolean isLeader() {
		return this.local.storeReachable().getAsBoolean() && presentPeers().stream()
			.noneMatch((peer) -> peer.serving() && peer.storeReachable() && peer.vm().compareTo(this.local.vm()) < 0);
	}

	/**
	 * Returns whether this daemon is one of the few that read the store often and tell
	 * the others of changes. All daemons choose those with the least names among the
	 * daemons that are present, serve and reach the store.
	 * @return {@code true} if fewer such daemons than needed have lesser names
	 */
	public boolean isReader() {
		return presentPeers().stream()
			.filter((peer) -> peer.serving() && peer.storeReachable() && peer.vm().compareTo(this.local.vm()) < 0)
			.count() < READERS;
	}

	/**
	 * Returns whether an incarnation of a daemon has ended. It has ended if the daemon
	 * has become silent, has started again, or no longer serves or reaches the store, or
	 * if no state of it has arrived since this daemon started a while ago.
	 * @param vm name of the VM of the daemon
	 * @param start the incarnation
	 * @return {@code true} if it no longer acts
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
	 * Sends the state now, in addition to the periodic states.
	 */
	public void sendNow() {
		Channel socket = this.channel;
		if (socket != null) {
			socket.eventLoop().execute(() -> send(false));
		}
	}

	/**
	 * Sends the state now to all daemons, including those that get every few states only.
	 */
	public void sendNowToAll() {
		Channel socket = this.channel;
		if (socket != null) {
			socket.eventLoop().execute(() -> send(true));
		}
	}

	private void send(boolean toAll) {
		Channel socket = this.channel;
		if (socket == null) {
			return;
		}
		this.loadTracker.removeExpired();
		this.sequence++;
		DaemonState state = buildState();
		byte[] whole = state.toByteArray();
		byte[] brief = state.toBuilder().clearUsage().setWithoutUsage(true).build().toByteArray();
		long now = this.clock.millis();
		this.targets.values().removeIf((heard) -> now - heard > TARGET_RETENTION_MILLIS);
		Set<Address> near = sameDataCentreAddresses();
		int crossEvery = crossDataCentrePeriods(this.targets.size());
		this.targets.forEach((address, heard) -> {
			int every = (now - heard >= absentMillis()) ? ABSENT_PERIODS : near.contains(address) ? 1 : crossEvery;
			if (toAll || this.sequence % every == 0) {
				boolean shortened = every > 1 && this.sequence / every % 2 != 0;
				socket.write(new DatagramPacket(Unpooled.wrappedBuffer(shortened ? brief : whole),
						new InetSocketAddress(address.host(), address.port())));
			}
		});
		socket.flush();
	}

	private Set<Address> sameDataCentreAddresses() {
		return this.peers.all()
			.stream()
			.filter((peer) -> peer.dataCentre().equals(this.local.dataCentre()))
			.map(PeerState::stateAddress)
			.collect(Collectors.toSet());
	}

	// Traffic between data centres grows with the square of the number of daemons, so
	// each of them sends less often when there are many.
	private static int crossDataCentrePeriods(int daemons) {
		return Math.max(1, Math.min(MAX_CROSS_PERIODS, daemons / DAEMONS_PER_CROSS_PERIOD));
	}

	private long absentMillis() {
		return Math.max(MIN_ABSENT_MILLIS,
				TOLERATED_CROSS_LOSSES * crossDataCentrePeriods(this.targets.size()) * SEND_PERIOD_MILLIS);
	}

	private DaemonState buildState() {
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
			.setRunnerList(runnerList.version());
		this.runnerAvailability.lostRunners().forEach((runner) -> builder.addLostRunners(runner.value()));
		this.runnerAvailability.changingRunners().forEach((runner) -> builder.addChangingRunners(runner.value()));
		this.loadTracker.ownLoads()
			.forEach((runner,
					usage) -> builder.addUsage(RunnerUsage.newBuilder()
						.setRunner(runner.value())
						.setRunning(usage.running())
						.setTokenLayers(usage.tokenLayers())
						.setEntered(usage.firstHops())
						.setUnreadLayers(usage.prefillTokenLayers())));
		this.partQuarantine.report().forEach((report) -> builder.addPromptParts(PartReportCodec.encode(report)));
		return builder.build();
	}

	private void receive(byte[] bytes) {
		try {
			DaemonState state = DaemonState.parseFrom(bytes);
			PeerState peer = new PeerState(state.getVm(), state.getIncarnation(), state.getSequence(),
					new DataCentreId(state.getDataCentre()), IpAddresses.parse(state.getCallerAddress()),
					IpAddresses.parse(state.getStateAddress()), state.getServing(), state.getLeaving(),
					state.getStoreReachable(), state.getConfiguration(), runners(state.getLostRunnersList()),
					runners(state.getChangingRunnersList()), state.getCapacity(), this.clock.millis());
			if (accept(peer)) {
				StoreVersion runnerList = new StoreVersion(state.getStoreEra(), state.getRunnerList());
				if (this.local.runnerListVersion().get().isBefore(runnerList)) {
					this.onNewerRunnerList.accept(runnerList);
				}
				if (!state.getWithoutUsage()) {
					this.loadTracker.applyReport(peer.vm(), usage(state));
				}
				this.runnerAvailability.applyReport(peer.vm(), peer.lostRunners(), peer.changingRunners());
				this.partQuarantine
					.applyReports(state.getPromptPartsList().stream().map(PartReportCodec::decode).toList());
			}
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			logUnreadable(ex);
		}
	}

	private void logUnreadable(Exception cause) {
		long now = this.clock.millis();
		this.unreadableStates++;
		if (now - this.unreadableLoggedAt >= UNREADABLE_LOG_MILLIS) {
			this.unreadableLoggedAt = now;
			LogEvent.of("state-unreadable")
				.with("count", this.unreadableStates)
				.with("cause", cause.getMessage())
				.log(LOGGER, System.Logger.Level.WARNING);
		}
	}

	private boolean accept(PeerState peer) {
		PeerState previous = this.peers.get(peer.vm());
		if (peer.vm().equals(this.local.vm()) || !this.peers.add(peer, absentMillis())) {
			return false;
		}
		addTarget(peer.stateAddress());
		this.targets.replace(peer.stateAddress(), peer.receivedMillis());
		if (previous == null || previous.incarnation() != peer.incarnation() || previous.serving() != peer.serving()) {
			LogEvent.of("peer-heard")
				.with("vm", peer.vm())
				.with("incarnation", peer.incarnation())
				.with("serving", peer.serving())
				.log(LOGGER, System.Logger.Level.INFO);
		}
		long version = this.local.configurationVersion().getAsLong();
		this.versionLag.compare(peer.vm(), peer.configurationVersion(), version);
		if (peer.configurationVersion() > version) {
			this.onNewerConfiguration.accept(peer.configurationVersion());
		}
		return true;
	}

	private static Set<RunnerId> runners(List<String> names) {
		return names.stream().map(RunnerId::new).collect(Collectors.toSet());
	}

	private Map<RunnerId, RunnerLoad> usage(DaemonState state) {
		Map<RunnerId, RunnerLoad> usage = new HashMap<>();
		if (this.knownRunners.size() > MAX_KNOWN_RUNNERS) {
			this.knownRunners.clear();
		}
		for (RunnerUsage entry : state.getUsageList()) {
			RunnerId runner = this.knownRunners.computeIfAbsent(entry.getRunner(), RunnerId::new);
			usage.put(runner, new RunnerLoad(entry.getRunning(), entry.getTokenLayers(), entry.getEntered(),
					entry.getUnreadLayers()));
		}
		return usage;
	}

	/**
	 * State of this daemon. The suppliers are read whenever a value is needed.
	 *
	 * @param vm name of its VM
	 * @param dataCentre data centre of its VM
	 * @param callerAddress address on which callers connect
	 * @param stateAddress address on which it receives states
	 * @param capacity processor capacity of its VM in cores, 0 if unknown
	 * @param serving whether callers should use it
	 * @param leaving whether it is stopping
	 * @param storeReachable whether it can reach the store
	 * @param configurationVersion version of its configuration, 0 for none
	 * @param runnerListVersion version of the store with the latest change of the list of
	 * runners that it knows, 0 for none
	 */
	public record LocalState(String vm, DataCentreId dataCentre, Address callerAddress, Address stateAddress,
			double capacity, BooleanSupplier serving, BooleanSupplier leaving, BooleanSupplier storeReachable,
			LongSupplier configurationVersion, Supplier<StoreVersion> runnerListVersion) {

	}

	/** Receives the datagrams of other daemons. */
	private final class StateReceiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
			receive(ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			LogEvent.of("state-socket-failed").with("cause", cause).log(LOGGER, System.Logger.Level.WARNING);
		}

	}

}
