package io.bilberryvalve.daemon.share;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.Peer;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.share.AdmissionQueue;
import io.bilberryvalve.policy.share.AdmissionTicket;
import io.bilberryvalve.policy.share.Allocation;
import io.bilberryvalve.policy.share.CostPredictor;
import io.bilberryvalve.policy.share.EntryDemand;
import io.bilberryvalve.policy.share.KnownEntry;
import io.bilberryvalve.policy.share.QueueLimits;
import io.bilberryvalve.policy.share.ShareAllocator;
import io.bilberryvalve.policy.share.ShareWeights;
import io.bilberryvalve.policy.share.TeamKey;
import org.jspecify.annotations.Nullable;

/**
 * Divides the streams of the federation's runners fairly among clubs and teams. The
 * entries exchange their demand every 250 ms, and each one computes from these reports
 * how many streams it may use. Requests above this limit wait in an
 * {@link AdmissionQueue}, which starts them in fair order.
 *
 * <p>
 * Safe for use by several threads. A lock guards the wait queue and the share allocator;
 * it is held for one operation and never while a caller's code runs.
 */
public final class FairAdmission implements AdmissionControl, AutoCloseable {

	private static final Logger LOGGER = System.getLogger(FairAdmission.class.getName());

	private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(250);

	private static final Duration TICK_INTERVAL = Duration.ofMillis(25);

	private static final Duration RETRY_AFTER_EXPIRY = Duration.ofSeconds(1);

	private final VmId self;

	private final long incarnation;

	private final CapacitySource capacity;

	private final PeerNetwork network;

	private final Clock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final AdmissionQueue<PendingRequest> queue;

	private final ShareAllocator allocator;

	private final DemandReportCodec reportCodec;

	private final CostPredictor predictor = new CostPredictor();

	private final DeferredTasks deferredTasks = new DeferredTasks();

	private final AtomicLong admitted = new AtomicLong();

	private final AtomicLong rejected = new AtomicLong();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(FairAdmission::thread);

	private volatile ShareWeights weights = new ShareWeights(Map.of(), Map.of());

	private volatile Allocation allocation = Allocation.NONE;

	private long sequence;

	private long nextExchangeMillis;

	/**
	 * Creates an admission control that exchanges no demand and admits no request before
	 * {@link #start()}.
	 * @param self the VM of this entry
	 * @param incarnation identifies this run of the daemon in its reports; higher than in
	 * earlier runs
	 * @param capacity total capacity of the federation's runners
	 * @param configuration provides the shares of clubs and the weights of teams
	 * @param network sends reports to the other entries and receives theirs
	 * @param limits largest number of waiting requests, for each team and in total
	 * @param clock clock for deadlines and for the age of reports
	 */
	public FairAdmission(VmId self, long incarnation, CapacitySource capacity, ConfigurationSource configuration,
			PeerNetwork network, QueueLimits limits, Clock clock) {
		this.self = self;
		this.incarnation = incarnation;
		this.capacity = capacity;
		this.network = network;
		this.clock = clock;
		this.queue = new AdmissionQueue<>(clock, limits);
		this.allocator = new ShareAllocator(self, clock);
		this.reportCodec = new DemandReportCodec(clock);
		configuration.addListener((next) -> this.weights = weights(next));
		network.setReceiver(MessageKind.DEMAND, this::handleReport);
	}

	/**
	 * Starts the periodic exchange of demand and the removal of expired requests.
	 */
	public void start() {
		this.timer.scheduleWithFixedDelay(this::tickSafely, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public CompletionStage<Result<Permit>> admit(AdmissionRequest request) {
		TeamKey team = new TeamKey(request.club(), request.team());
		PendingRequest pending = new PendingRequest(new CompletableFuture<>(), request.cost());
		int cost = this.predictor.predict(team, request.cost());
		AdmissionQueue.OfferResult<PendingRequest> offer;
		this.lock.lock();
		try {
			offer = this.queue.offer(team, cost, request.priority(), request.timeout(), pending);
			startReady();
		}
		finally {
			this.lock.unlock();
		}
		if (offer instanceof AdmissionQueue.Rejected<PendingRequest> rejection) {
			this.rejected.incrementAndGet();
			return CompletableFuture
				.completedFuture(Result.failed(overloaded(rejection.reason(), rejection.retryAfter())));
		}
		this.deferredTasks.runPending();
		removeOnCancel(pending, ((AdmissionQueue.Accepted<PendingRequest>) offer).ticket());
		return pending.result();
	}

	/**
	 * Returns the current limit and the numbers of requests.
	 * @return a snapshot
	 */
	public AdmissionStatus status() {
		this.lock.lock();
		try {
			return new AdmissionStatus(this.allocation.limit(), this.queue.running(), this.queue.waiting(),
					this.allocator.isolated(), this.admitted.get(), this.rejected.get());
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * Rejects waiting requests that can no longer meet their deadlines, and recomputes
	 * the allocation and broadcasts the demand when an exchange is due.
	 */
	void tick() {
		byte[] report = null;
		this.lock.lock();
		try {
			this.queue.expire().forEach(this::reject);
			long now = this.clock.millis();
			if (now >= this.nextExchangeMillis) {
				this.nextExchangeMillis = now + EXCHANGE_INTERVAL.toMillis();
				report = updateAllocation();
			}
			startReady();
		}
		finally {
			this.lock.unlock();
		}
		if (report != null) {
			this.network.broadcast(MessageKind.DEMAND, report);
		}
		this.deferredTasks.runPending();
	}

	/**
	 * Computes the allocation of this entry from the latest reports and applies it to the
	 * wait queue.
	 * @return the encoded demand report for the other entries
	 */
	private byte[] updateAllocation() {
		List<KnownEntry> others = this.network.peers()
			.stream()
			.map((peer) -> new KnownEntry(peer.vm(), peer.state() == Peer.State.ABSENT))
			.toList();
		boolean wasIsolated = this.allocator.isolated();
		EntryDemand own = this.reportCodec.nextReportedDemand(
				new EntryDemand(this.self, this.incarnation, this.sequence, this.queue.running(), this.queue.demand()));
		Allocation next = this.allocator.allocate(this.capacity.capacity(), this.weights, others, own);
		if (this.allocator.isolated() != wasIsolated) {
			LogEvent.of("share-mode-changed")
				.with("isolated", this.allocator.isolated())
				.with("limit", next.limit())
				.log(LOGGER, Level.INFO);
		}
		this.allocation = next;
		this.queue.setAllocation(next, this.weights);
		this.sequence++;
		this.reportCodec.retainMembers(others.stream().map(KnownEntry::vm).toList());
		return this.reportCodec.encode(new EntryDemand(this.self, this.incarnation, this.sequence,
				Math.max(next.limit(), this.queue.running()), own.clubs()));
	}

	private void handleReport(VmId sender, byte[] body) {
		this.lock.lock();
		try {
			this.reportCodec.decode(body)
				.filter((demand) -> demand.origin().equals(sender))
				.ifPresent(this.allocator::report);
		}
		finally {
			this.lock.unlock();
		}
	}

	// Starts waiting requests as far as the limit allows. Called with the lock held; the
	// deferred tasks notify the callers after it has been released.
	private void startReady() {
		for (AdmissionTicket<PendingRequest> ticket = pollQueue(); ticket != null; ticket = pollQueue()) {
			AdmissionTicket<PendingRequest> started = ticket;
			this.deferredTasks.add(() -> grant(started));
		}
	}

	private @Nullable AdmissionTicket<PendingRequest> pollQueue() {
		return this.queue.poll().orElse(null);
	}

	private void grant(AdmissionTicket<PendingRequest> ticket) {
		Permit permit = (actualCost) -> release(ticket, actualCost);
		if (ticket.payload().result().complete(Result.ok(permit))) {
			this.admitted.incrementAndGet();
		}
		else {
			// The caller cancelled the request while it was being started.
			permit.release(0);
		}
	}

	private void release(AdmissionTicket<PendingRequest> ticket, int actualCost) {
		this.lock.lock();
		try {
			if (!ticket.running()) {
				return;
			}
			this.queue.finish(ticket, Math.max(0, actualCost));
			startReady();
		}
		finally {
			this.lock.unlock();
		}
		if (actualCost > 0) {
			this.predictor.observe(ticket.team(), ticket.payload().declaredCost(), actualCost);
		}
		this.deferredTasks.runPending();
	}

	private void reject(AdmissionTicket<PendingRequest> ticket) {
		this.rejected.incrementAndGet();
		Problem problem = overloaded("the request could not start early enough before its deadline",
				RETRY_AFTER_EXPIRY);
		this.deferredTasks.add(() -> ticket.payload().result().complete(Result.failed(problem)));
	}

	private void removeOnCancel(PendingRequest pending, AdmissionTicket<PendingRequest> ticket) {
		pending.result().whenComplete((result, failure) -> {
			if (failure == null) {
				return;
			}
			this.lock.lock();
			try {
				this.queue.cancel(ticket);
			}
			finally {
				this.lock.unlock();
			}
		});
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			LogEvent.of("demand-exchange-failed").with("reason", ex).log(LOGGER, Level.ERROR);
		}
	}

	private static Problem overloaded(String reason, Duration retryAfter) {
		return Problem.notRun(ProblemKind.OVERLOADED, reason, "repeat the request after the given time")
			.withRetryAfter(retryAfter);
	}

	private static ShareWeights weights(FederationConfiguration configuration) {
		Map<ClubId, Double> clubs = new HashMap<>();
		Map<TeamKey, Double> teams = new HashMap<>();
		configuration.federation().shares().forEach((share) -> clubs.put(share.club(), share.percent()));
		configuration.clubs()
			.forEach((club, part) -> part.teams()
				.forEach((team) -> teams.put(new TeamKey(club, team.team()), team.weight())));
		return new ShareWeights(clubs, teams);
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(task, "admission");
		thread.setDaemon(true);
		return thread;
	}

	private record PendingRequest(CompletableFuture<Result<Permit>> result, int declaredCost) {

	}

}
