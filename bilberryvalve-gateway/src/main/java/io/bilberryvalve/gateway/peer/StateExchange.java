package io.bilberryvalve.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
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
 * are lost or change their layers. In a large fleet it sends them to delegates, which
 * send sums of them. A lost datagram is made up for by the next one. Daemons discover
 * each other by the list in the store and by the datagrams themselves.
 */
public final class StateExchange {

	private static final System.Logger LOGGER = System.getLogger(StateExchange.class.getName());

	/**
	 * Period of sending. It limits the time during which two daemons can grant the same
	 * slot.
	 */
	static final long SEND_PERIOD_MILLIS = 150;

	private final Transport transport;

	private final LocalState local;

	private final StateProtocol protocol;

	private final Clock clock;

	private MessageCounter messageCounter = (direction, kind, count) -> {
	};

	private @Nullable Channel channel;

	/** Whether urgent news are about to be sent; confined to the event loop. */
	private boolean urgentScheduled;

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
		this.clock = clock;
		this.protocol = new StateProtocol(local, new SharedKnowledge(loadTracker, runnerAvailability, partQuarantine),
				clock, incarnation);
	}

	/**
	 * Sets what counts the datagrams.
	 * @param counter counts datagrams that are sent or received
	 */
	public void countMessages(MessageCounter counter) {
		this.messageCounter = counter;
	}

	/**
	 * Sets the action to run when a peer has a newer configuration than this daemon.
	 * @param action receives the version, on the event loop that receives states
	 */
	public void onNewerConfiguration(LongConsumer action) {
		this.protocol.onNewerConfiguration(action);
	}

	/**
	 * Sets the action to run when a peer knows a later change of the list of runners than
	 * this daemon.
	 * @param action receives the version of the store with the change, on the event loop
	 * that receives states; it may run several times for one change
	 */
	public void onNewerRunnerList(Consumer<StoreVersion> action) {
		this.protocol.onNewerRunnerList(action);
	}

	/**
	 * Starts to receive and to send states.
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public void start() {
		Address address = this.local.stateAddress();
		ChannelFuture bound = this.transport.datagramBootstrap()
			.handler(new DatagramReceiver())
			.bind(address.host(), address.port())
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IllegalStateException("cannot receive states at " + address + "; check that the port is free",
					bound.cause());
		}
		this.channel = bound.channel();
		GuardedTask.repeat(bound.channel().eventLoop(), "send-state", this::sendPeriodic,
				Duration.ofMillis(SEND_PERIOD_MILLIS));
	}

	/**
	 * Adds an address to which states are sent.
	 * @param address address on which a daemon may receive states
	 */
	public void addTarget(Address address) {
		this.protocol.directory().addTarget(address);
	}

	/**
	 * Returns the daemons from which a state has arrived recently, here or at a delegate.
	 * @return their last states
	 */
	public List<PeerState> presentPeers() {
		return this.protocol.directory().presentPeers();
	}

	/**
	 * Returns the number of known daemons.
	 * @return number of daemons that were heard or added within the last minute, plus one
	 * for this daemon
	 */
	public int knownCount() {
		return this.protocol.directory().knownCount();
	}

	/**
	 * Returns the delegates of the data centres.
	 * @return a view that follows all changes
	 */
	public Delegates delegates() {
		return this.protocol.delegates();
	}

	/**
	 * Returns whether this daemon is the leader: it reaches the store, and no other
	 * daemon that is present, serves and reaches the store has a lesser name.
	 * @return {@code true} if this daemon should do the work that one daemon does for all
	 */
	public boolean isLeader() {
		return this.protocol.directory().isLeader();
	}

	/**
	 * Returns whether this daemon is one of the few that read the store often and tell
	 * the others of changes. All daemons choose those with the least names among the
	 * daemons that are present, serve and reach the store.
	 * @return {@code true} if fewer such daemons than needed have lesser names
	 */
	public boolean isReader() {
		return this.protocol.directory().isReader();
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
		return this.protocol.directory().hasEnded(vm, start);
	}

	/**
	 * Returns the age of the last digest of a delegate.
	 * @return time in milliseconds, since the start if none has arrived; 0 in a fleet
	 * without delegates
	 */
	public long digestAgeMillis() {
		return this.protocol.digestAgeMillis();
	}

	/**
	 * Sends the state now, in addition to the periodic states. In a fleet with delegates
	 * it goes to the delegates, which pass on what is new.
	 */
	public void sendNow() {
		sendNow(false);
	}

	/**
	 * Sends the state now to all daemons, including those that get every few states only.
	 * In a fleet with delegates it goes to these, as with {@link #sendNow()}.
	 */
	public void sendNowToAll() {
		sendNow(true);
	}

	private void sendNow(boolean toAll) {
		Channel socket = this.channel;
		if (socket != null) {
			socket.eventLoop().execute(() -> {
				write(this.protocol.sendNow(toAll));
				scheduleUrgent();
			});
		}
	}

	private void sendPeriodic() {
		write(this.protocol.sendPeriodic());
		scheduleUrgent();
	}

	private void scheduleUrgent() {
		OptionalLong urgentAt = this.protocol.urgentAt();
		Channel socket = this.channel;
		if (urgentAt.isPresent() && !this.urgentScheduled && socket != null) {
			this.urgentScheduled = true;
			long delay = Math.max(0, urgentAt.getAsLong() - this.clock.millis());
			socket.eventLoop().schedule(this::sendUrgent, delay, TimeUnit.MILLISECONDS);
		}
	}

	private void sendUrgent() {
		this.urgentScheduled = false;
		if (this.protocol.urgentAt().isPresent()) {
			write(this.protocol.sendUrgent());
		}
	}

	private void write(List<OutgoingMessage> messages) {
		Channel socket = this.channel;
		if (socket == null) {
			return;
		}
		for (OutgoingMessage message : messages) {
			message.targets()
				.forEach((address) -> socket.write(new DatagramPacket(Unpooled.wrappedBuffer(message.bytes()),
						new InetSocketAddress(address.host(), address.port()))));
			if (!message.targets().isEmpty()) {
				this.messageCounter.count("sent", message.kind().label(), message.targets().size());
			}
		}
		socket.flush();
	}

	private void receive(byte[] bytes) {
		MessageKind kind = this.protocol.receive(bytes);
		this.messageCounter.count("received", kind.label(), 1);
		scheduleUrgent();
	}

	/** Counts datagrams. */
	@FunctionalInterface
	public interface MessageCounter {

		/**
		 * Counts datagrams of one kind.
		 * @param direction {@code sent} or {@code received}
		 * @param kind {@code state}, {@code digest}, {@code roster} or {@code unreadable}
		 * @param count number of datagrams
		 */
		void count(String direction, String kind, int count);

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
	private final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {

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
