package io.bilberryvalve.daemon.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.membership.Member;
import io.bilberryvalve.policy.membership.MemberView;
import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.PeerIdentity;
import io.bilberryvalve.wire.PeerTransport;
import io.bilberryvalve.wire.proto.Call;
import io.bilberryvalve.wire.proto.Payload;
import org.jspecify.annotations.Nullable;

/**
 * Peer network over authenticated TCP connections. A timer thread sends heartbeats,
 * closes silent connections and opens missing ones; messages are handled on the I/O
 * threads of the {@link PeerTransport}. Safe for use by several threads.
 *
 * <pre>
 * NettyPeerNetwork network = new NettyPeerNetwork(settings, lifecycle, directory, versions, regions, clock);
 * network.receive(MessageKind.DEMAND, receiver);
 * network.start();
 * </pre>
 */
public final class NettyPeerNetwork implements PeerNetwork, AutoCloseable {

	private static final Logger LOGGER = System.getLogger(NettyPeerNetwork.class.getName());

	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private final PeerSettings settings;

	private final Lifecycle lifecycle;

	private final ConfigurationVersions versions;

	private final Function<DataCentreId, RegionId> regions;

	private final PeerDirectory directory;

	private final Clock clock;

	private final PeerMessageDispatcher dispatcher = new PeerMessageDispatcher();

	private final PendingCalls pendingCalls;

	private final ConnectionRegistry connections;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(NettyPeerNetwork::thread);

	private volatile @Nullable Running running;

	/**
	 * Creates a network that is not started.
	 * @param settings the settings
	 * @param lifecycle serving state of this daemon, sent with its heartbeats
	 * @param directory addresses at which other daemons may be found
	 * @param versions supplies the configuration version of this daemon and receives
	 * those of its peers
	 * @param regions returns the region of a data centre
	 * @param clock clock for heartbeats, timeouts and backoff
	 */
	public NettyPeerNetwork(PeerSettings settings, Lifecycle lifecycle, PeerDirectory directory,
			ConfigurationVersions versions, Function<DataCentreId, RegionId> regions, Clock clock) {
		this.settings = settings;
		this.lifecycle = lifecycle;
		this.directory = directory;
		this.versions = versions;
		this.regions = regions;
		this.clock = clock;
		this.pendingCalls = new PendingCalls(clock);
		this.connections = new ConnectionRegistry(clock, settings.silenceTimeout());
	}

	/**
	 * Starts to listen for other daemons, to connect to them and to send heartbeats.
	 * @return the address at which other daemons reach this one
	 * @throws IllegalStateException if the address cannot be used
	 */
	public Address start() {
		Address address = startWithoutTimer();
		this.timer.scheduleWithFixedDelay(this::tickSafely, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		return address;
	}

	/**
	 * Sends a heartbeat to all peers immediately, so that they learn about a changed
	 * state of this daemon, for example that it is leaving and gets no new work. Without
	 * this call they learn of it with the next regular heartbeat. Does nothing before the
	 * start.
	 */
	public void announceState() {
		Running now = this.running;
		if (now != null) {
			now.maintenance().sendHeartbeats();
		}
	}

	/**
	 * Returns the identity that this daemon presents to its peers. Its incarnation rises
	 * when a peer knows a higher one for the same VM.
	 * @return the current identity
	 * @throws IllegalStateException if the network has not been started
	 */
	public PeerIdentity identity() {
		return requireRunning().membership().identity();
	}

	/**
	 * Returns the known members with their states, without this daemon.
	 * @return the members in the order of their VMs
	 */
	public List<MemberView> members() {
		Running now = this.running;
		return (now != null) ? now.membership().members() : List.of();
	}

	/**
	 * Returns this daemon as a member.
	 * @return this daemon with its current incarnation
	 * @throws IllegalStateException if the network has not been started
	 */
	public Member localMember() {
		PeerIdentity own = identity();
		return new Member(own.vm(), own.incarnation(), own.dataCentre(), own.callerAddress(), own.peerAddress());
	}

	/**
	 * Returns the VMs of the daemons to which a connection is open.
	 * @return the VMs in no particular order
	 */
	public List<VmId> connectedVms() {
		return this.connections.vms();
	}

	/**
	 * Returns the number of bytes exchanged with peers in both directions.
	 * @return number of bytes since the start, 0 before it
	 */
	public long transferredBytes() {
		Running now = this.running;
		return (now != null) ? now.transport().bytesSent() + now.transport().bytesReceived() : 0;
	}

	@Override
	public List<Peer> peers() {
		return members().stream().map(NettyPeerNetwork::peer).toList();
	}

	@Override
	public void broadcast(MessageKind kind, byte[] body) {
		Payload payload = Payload.newBuilder().setKind(kind.name()).setBody(ByteString.copyFrom(body)).build();
		for (VmId vm : this.connections.vms()) {
			this.connections.mostRecentlyAnswered(vm).ifPresent((monitored) -> {
				PeerConnection connection = monitored.connection();
				connection.send(PeerEnvelopes.envelope(connection).setPayload(payload).build());
			});
		}
	}

	@Override
	public CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout) {
		Running now = this.running;
		if (now == null) {
			return PendingCalls.notSent("the peer network is not started");
		}
		MonitoredConnection monitored = this.connections.mostRecentlyAnswered(target).orElse(null);
		if (monitored != null) {
			return send(monitored.connection(), kind, body, timeout);
		}
		return now.maintenance()
			.connect(target)
			.handle((connection, failure) -> (connection != null) ? send(connection, kind, body, timeout)
					: PendingCalls.notSent("entry " + target + " cannot be reached"))
			.thenCompose((answer) -> answer);
	}

	@Override
	public void setReceiver(MessageKind kind, Receiver receiver) {
		this.dispatcher.setReceiver(kind, receiver);
	}

	@Override
	public void setResponder(MessageKind kind, Responder responder) {
		this.dispatcher.setResponder(kind, responder);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		Running now = this.running;
		if (now != null) {
			now.transport().close();
		}
	}

	/**
	 * Starts the network without a timer. Tests use it and call {@link #tick()}
	 * themselves.
	 * @return the address at which other daemons reach this one
	 */
	Address startWithoutTimer() {
		PeerEventHandler events = new PeerEventHandler(this.dispatcher, this.pendingCalls, this.connections,
				this.versions);
		PeerTransport transport = new PeerTransport(this.settings.secret(), this::identity,
				this.settings.transportLimits(), events);
		Address address = transport.bind(this.settings.host(), this.settings.port());
		PeerMembership membership = new PeerMembership(this.settings, address, this.lifecycle, this.clock,
				this.regions);
		PeerMaintenance maintenance = new PeerMaintenance(this.settings, this.directory, this.versions, membership,
				this.connections, transport, this.clock);
		events.start(membership, maintenance);
		this.running = new Running(transport, membership, maintenance);
		transport.startAccepting();
		return address;
	}

	/**
	 * Does the periodic work once: fails overdue calls, closes silent connections, sends
	 * due heartbeats and opens missing connections.
	 */
	void tick() {
		this.pendingCalls.expireOverdue();
		requireRunning().maintenance().tick();
	}

	/**
	 * Returns the open connections.
	 * @return the connections; a peer may have several
	 */
	List<PeerConnection> connections() {
		return this.connections.all().stream().map(MonitoredConnection::connection).toList();
	}

	/**
	 * Sends a call on a given connection.
	 * @param connection connection to the peer
	 * @param kind kind of the call
	 * @param body body of the call
	 * @param timeout how long to wait for the answer
	 * @return the answer, or a problem if none arrives in time
	 */
	CompletionStage<Result<byte[]>> send(PeerConnection connection, MessageKind kind, byte[] body, Duration timeout) {
		Call.Builder call = Call.newBuilder()
			.setCorrelation(this.pendingCalls.nextCorrelation())
			.setKind(kind.name())
			.setBody(ByteString.copyFrom(body))
			.setTimeoutMillis(timeout.toMillis());
		MonitoredConnection monitored = this.connections.find(connection);
		if (monitored != null) {
			monitored.startCall();
		}
		CompletableFuture<Result<byte[]>> answer = this.pendingCalls.send(connection,
				PeerEnvelopes.envelope(connection).setCall(call).build(), timeout);
		if (monitored != null) {
			answer.whenComplete((result, error) -> monitored.endCall());
		}
		return answer;
	}

	private Running requireRunning() {
		return Objects.requireNonNull(this.running, "the peer network is not started; call start() first");
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			LogEvent.of("peer-round-failed").with("reason", ex).log(LOGGER, Level.ERROR);
		}
	}

	private static Peer peer(MemberView view) {
		Member member = view.member();
		return new Peer(member.vm(), member.incarnation(), member.dataCentre(), member.callerAddress(),
				Peer.State.valueOf(view.state().name()));
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(task, "peer-rounds");
		thread.setDaemon(true);
		return thread;
	}

	private record Running(PeerTransport transport, PeerMembership membership, PeerMaintenance maintenance) {

	}

}
