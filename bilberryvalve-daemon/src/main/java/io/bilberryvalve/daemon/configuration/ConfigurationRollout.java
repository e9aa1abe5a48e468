package io.bilberryvalve.daemon.configuration;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.Peer;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.PlatformServices;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.policy.rollout.ConfigurationHead;
import io.bilberryvalve.policy.rollout.ConfigurationRegister;
import io.bilberryvalve.policy.rollout.RefreshSchedule;
import io.bilberryvalve.policy.rollout.StartupPolicy;
import io.bilberryvalve.wire.proto.ConfigurationMessages.ConfigurationPush;

/**
 * Activates accepted configurations at this daemon and distributes them to its peers. New
 * versions arrive from the table service, by pushes of peers and by requests to peers.
 * Safe for use by several threads.
 */
public final class ConfigurationRollout {

	private static final Logger LOGGER = System.getLogger(ConfigurationRollout.class.getName());

	private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * Time between requests to a random peer. Heartbeats announce a higher version
	 * sooner, so the requests are needed only for peers whose heartbeats carry no
	 * version.
	 */
	private static final Duration PEER_INTERVAL = Duration.ofSeconds(5);

	private static final Duration START_RETRY_INTERVAL = Duration.ofMillis(250);

	private final ConfigurationHolder holder;

	private final ConfigurationParser parser;

	private final PlatformServices platform;

	private final PeerNetwork peers;

	private final Timer timer;

	private final RefreshSchedule schedule;

	private final IntSupplier daemonCount;

	private final RandomGenerator random;

	private final PartTextStore texts;

	private final ConfigurationRegister register = new ConfigurationRegister();

	private final List<Runnable> readyListeners = new CopyOnWriteArrayList<>();

	private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();

	private volatile boolean ready;

	private volatile boolean stopped;

	private final AtomicBoolean catchingUp = new AtomicBoolean();

	/**
	 * Creates a rollout. It does nothing before {@link #start()}.
	 * @param holder receives each activated configuration
	 * @param parser parses the parts of a configuration
	 * @param platform table service and object store
	 * @param peers network to the other daemons
	 * @param timer schedules reads and requests
	 * @param schedule intervals between reads of the table service
	 * @param daemonCount returns the number of daemons in the federation
	 * @param random chooses the peer for each periodic request
	 */
	public ConfigurationRollout(ConfigurationHolder holder, ConfigurationParser parser, PlatformServices platform,
			PeerNetwork peers, Timer timer, RefreshSchedule schedule, IntSupplier daemonCount, RandomGenerator random) {
		this.holder = holder;
		this.parser = parser;
		this.platform = platform;
		this.peers = peers;
		this.timer = timer;
		this.schedule = schedule;
		this.daemonCount = daemonCount;
		this.random = random;
		this.texts = new PartTextStore(platform.objects());
		peers.setReceiver(MessageKind.CONFIGURATION_PUSH, this::onPush);
		peers.setResponder(MessageKind.CONFIGURATION_REQUEST, (sender, body) -> CompletableFuture
			.completedFuture(ConfigurationCodec.answerRequest(body, this.snapshot)));
	}

	/**
	 * Starts to fetch configurations from the table service and from peers. The daemon
	 * becomes ready once {@link StartupPolicy} permits it.
	 */
	public void start() {
		tryStart();
		this.timer.schedule(PEER_INTERVAL, this::pollRandomPeer);
	}

	/**
	 * Stops the periodic reads and requests. One that is in progress still completes.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Adds a listener that is called once, when this daemon has a configuration that is
	 * recent enough to serve requests.
	 * @param listener the listener; called immediately if this is the case already
	 */
	public void addReadyListener(Runnable listener) {
		synchronized (this.readyListeners) {
			if (!this.ready) {
				this.readyListeners.add(listener);
				return;
			}
		}
		listener.run();
	}

	/**
	 * Returns the active configuration as texts.
	 * @return the snapshot; of version 0 before the first configuration is activated
	 */
	public ConfigurationSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Handles the announcement of the version of a peer, for example in its heartbeat. If
	 * the version is higher than the active one, the configuration is requested from the
	 * peer.
	 * @param peer the peer
	 * @param version version that is active at the peer
	 */
	public void onPeerVersion(VmId peer, long version) {
		if (version > this.snapshot.version()) {
			catchUp(peer);
		}
	}

	// Many peers announce a new version at the same time; it is requested from one of
	// them.
	private void catchUp(VmId peer) {
		if (this.catchingUp.compareAndSet(false, true)) {
			requestFrom(peer).whenComplete((version, error) -> this.catchingUp.set(false));
		}
	}

	PartTextStore texts() {
		return this.texts;
	}

	CompletionStage<ReadResult<Row>> readHead() {
		return this.platform.tables().read(HeadRow.TABLE, HeadRow.KEY);
	}

	private void tryStart() {
		if (this.stopped) {
			return;
		}
		CompletionStage<OptionalLong> store = readStore();
		CompletionStage<List<Long>> answers = requestFromAll();
		store
			.thenCombine(answers,
					(version, peerVersions) -> StartupPolicy.mayServe(this.snapshot.version(), version, peerVersions))
			.whenComplete((mayServe, error) -> {
				if (Boolean.TRUE.equals(mayServe)) {
					becomeReady();
					this.timer.schedule(this.schedule.nextDelay(this.daemonCount.getAsInt()), this::refresh);
				}
				else {
					this.timer.schedule(START_RETRY_INTERVAL, this::tryStart);
				}
			});
	}

	private void becomeReady() {
		List<Runnable> listeners;
		synchronized (this.readyListeners) {
			this.ready = true;
			listeners = List.copyOf(this.readyListeners);
			this.readyListeners.clear();
		}
		LogEvent.of("configuration-ready").with("version", this.snapshot.version()).log(LOGGER, Level.INFO);
		listeners.forEach(Runnable::run);
	}

	private void refresh() {
		if (!this.stopped) {
			readStore().whenComplete((version, error) -> this.timer
				.schedule(this.schedule.nextDelay(this.daemonCount.getAsInt()), this::refresh));
		}
	}

	private CompletionStage<OptionalLong> readStore() {
		return readHead().thenCompose((fetched) -> {
			if (fetched instanceof ReadResult.Failed<Row>) {
				return CompletableFuture.completedFuture(OptionalLong.empty());
			}
			if (!(fetched instanceof ReadResult.Found<Row> found)) {
				return CompletableFuture.completedFuture(OptionalLong.of(0));
			}
			ConfigurationHead head = HeadRow.decode(found.value().value());
			return loadAndActivate(head.version(), head.parts()).thenApply((done) -> OptionalLong.of(head.version()));
		});
	}

	// Loads the missing texts of a version and activates it. Returns whether it was
	// activated.
	CompletionStage<Boolean> loadAndActivate(long version, Map<String, String> digests) {
		if (version <= this.snapshot.version()) {
			return CompletableFuture.completedFuture(false);
		}
		return this.texts.load(digests).thenApply((loaded) -> {
			if (loaded.size() != digests.size()) {
				LogEvent.of("configuration-part-missing").with("version", version).log(LOGGER, Level.WARNING);
				return false;
			}
			return activate(version, digests, loaded);
		});
	}

	private synchronized boolean activate(long version, Map<String, String> digests, Map<String, String> loaded) {
		if (version <= this.register.version()) {
			return false;
		}
		Result<FederationConfiguration> parsed = this.parser.parse(version, loaded);
		if (parsed instanceof Result.Failed<FederationConfiguration> failed) {
			LogEvent.of("configuration-unreadable")
				.with("version", version)
				.with("problem", failed.problem())
				.log(LOGGER, Level.ERROR);
			return false;
		}
		String digest = PartTextStore.configurationDigest(digests);
		this.register.offer(version, digest);
		ConfigurationSnapshot previous = this.snapshot;
		this.snapshot = new ConfigurationSnapshot(version, digest, digests, loaded);
		loaded.values().forEach(this.texts::add);
		this.texts.keepOnly(digests);
		this.holder.setIfNewer(((Result.Ok<FederationConfiguration>) parsed).value());
		LogEvent.of("configuration-in-force").with("version", version).log(LOGGER, Level.INFO);
		this.peers.broadcast(MessageKind.CONFIGURATION_PUSH, ConfigurationCodec.encodePush(this.snapshot, previous));
		return true;
	}

	private void onPush(VmId sender, byte[] body) {
		try {
			ConfigurationPush push = ConfigurationPush.parseFrom(body);
			if (push.getVersion() > this.snapshot.version() && !applyPush(push)) {
				catchUp(sender);
			}
		}
		catch (InvalidProtocolBufferException ex) {
			LogEvent.of("configuration-push-damaged").with("sender", sender).log(LOGGER, Level.WARNING);
		}
	}

	// Returns whether this daemon needs no further texts: the version of the push, or a
	// higher one, is active.
	private boolean applyPush(ConfigurationPush push) {
		Map<String, String> digests = ConfigurationCodec.digests(push);
		Map<String, String> loaded = ConfigurationCodec.verifiedTexts(push, this.texts);
		if (push.getVersion() <= this.snapshot.version()) {
			return true;
		}
		return loaded.size() == digests.size() && PartTextStore.configurationDigest(digests).equals(push.getDigest())
				&& activate(push.getVersion(), digests, loaded);
	}

	private void pollRandomPeer() {
		if (this.stopped) {
			return;
		}
		List<Peer> candidates = reachablePeers();
		if (!candidates.isEmpty()) {
			requestFrom(candidates.get(this.random.nextInt(candidates.size())).vm());
		}
		this.timer.schedule(PEER_INTERVAL, this::pollRandomPeer);
	}

	private List<Peer> reachablePeers() {
		return this.peers.peers().stream().filter((peer) -> peer.state() != Peer.State.ABSENT).toList();
	}

	private CompletionStage<List<Long>> requestFromAll() {
		List<CompletableFuture<Long>> answers = new ArrayList<>();
		reachablePeers().forEach((peer) -> answers.add(requestFrom(peer.vm()).toCompletableFuture()));
		return CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
			.thenApply((done) -> answers.stream().map(CompletableFuture::join).toList());
	}

	// The stage completes with the version of the peer, or 0 if it did not answer.
	private CompletionStage<Long> requestFrom(VmId peer) {
		byte[] request = ConfigurationCodec.encodeRequest(this.snapshot);
		return this.peers.call(peer, MessageKind.CONFIGURATION_REQUEST, request, PEER_TIMEOUT)
			.handle((result, error) -> (result instanceof Result.Ok<byte[]> ok) ? onAnswer(peer, ok.value()) : 0L);
	}

	private long onAnswer(VmId peer, byte[] body) {
		try {
			ConfigurationPush push = ConfigurationPush.parseFrom(body);
			boolean same = push.getVersion() == this.snapshot.version() && push.getVersion() > 0;
			if (same && !push.getDigest().equals(this.snapshot.digest())) {
				LogEvent.of("configuration-divergent")
					.with("peer", peer)
					.with("version", push.getVersion())
					.log(LOGGER, Level.ERROR);
			}
			applyPush(push);
			return push.getVersion();
		}
		catch (InvalidProtocolBufferException ex) {
			return 0;
		}
	}

}
