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
import io.bilberryvalve.policy.share.ShareBook;
import io.bilberryvalve.policy.share.ShareWeights;
import io.bilberryvalve.policy.share.TeamKey;
import org.jspecify.annotations.Nullable;

/**
 * Admits requests by fair shares. A lock guards the queue and the share book; it is held
 * for one operation and never while a caller's code runs.
 */
public final class FairAdmission implements AdmissionControl, AutoCloseable {

	private static final Logger LOGGER = System.getLogger(FairAdmission.class.getName());

	private static final Duration EXCHANGE = Duration.ofMillis(250);

	private static final Duration TICK = Duration.ofMillis(25);

	private static final Duration RETRY_AFTER_EXPIRY = Duration.ofSeconds(1);

	private final VmId self;

	private final long incarnation;

	private final CapacitySource capacity;

	private final PeerNetwork network;

	private final Clock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final AdmissionQueue<Waiting> queue;

	private final ShareBook book;

	private final DemandReports reports;

	private final CostPredictor predictor = new CostPredictor();

	private final ReadyTasks ready = new ReadyTasks();

	private final AtomicLong admitted = new AtomicLong();

	private final AtomicLong rejected = new AtomicLong();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(FairAdmission::thread);

	private volatile ShareWeights weights = new ShareWeights(Map.of(), Map.of());

	private volatile Allocation allocation = Allocation.NONE;

	private long sequence;

	private long nextExchangeMillis;

	/**
	 * Creates an admission that starts nothing before {@link #start()}.
	 * @param self the VM of this entry
	 * @param incarnation run of this entry
	 * @param capacity capacity of the federation
	 * @param configuration shares of clubs and weights of teams
	 * @param network the other entries
	 * @param limits limits of the queue
	 * @param clock the clock
	 */
	public FairAdmission(VmId self, long incarnation, CapacitySource capacity, ConfigurationSource configuration,
			PeerNetwork network, QueueLimits limits, Clock clock) {
		this.self = self;
		this.incarnation = incarnation;
		this.capacity = capacity;
		this.network = network;
		this.clock = clock;
		this.queue = new AdmissionQueue<>(clock, limits);
		this.book = new ShareBook(self, clock);
		this.reports = new DemandReports(clock);
		configuration.addListener((next) -> this.weights = weights(next));
		network.receive(MessageKind.DEMAND, this::receive);
	}

	/**
	 * Starts the exchange of demand.
	 */
	public void start() {
		this.timer.scheduleWithFixedDelay(this::tickSafely, 0, TICK.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public CompletionStage<Result<Permit>> admit(AdmissionRequest request) {
		TeamKey team = new TeamKey(request.club(), request.team());
		Waiting waiting = new Waiting(new CompletableFuture<>(), request.cost());
		int cost = this.predictor.predict(team, request.cost());
		AdmissionQueue.Offer<Waiting> offer;
		this.lock.lock();
		try {
			offer = this.queue.offer(team, cost, request.priority(), request.timeout(), waiting);
			startReady();
		}
		finally {
			this.lock.unlock();
		}
		if (offer instanceof AdmissionQueue.Rejected<Waiting> no) {
			this.rejected.incrementAndGet();
			return CompletableFuture.completedFuture(Result.failed(overloaded(no.reason(), no.retryAfter())));
		}
		this.ready.run();
		cancelWithCaller(waiting, ((AdmissionQueue.Accepted<Waiting>) offer).ticket());
		return waiting.answer();
	}

	/**
	 * Returns the current state.
	 * @return the state
	 */
	public AdmissionStatus status() {
		this.lock.lock();
		try {
			return new AdmissionStatus(this.allocation.limit(), this.queue.running(), this.queue.waiting(),
					this.book.isolated(), this.admitted.get(), this.rejected.get());
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
	 * Rejects requests that can no longer be met and exchanges demand when it is due.
	 */
	void tick() {
		byte[] report = null;
		this.lock.lock();
		try {
			this.queue.expire().forEach(this::reject);
			long now = this.clock.millis();
			if (now >= this.nextExchangeMillis) {
				this.nextExchangeMillis = now + EXCHANGE.toMillis();
				report = exchange();
			}
			startReady();
		}
		finally {
			this.lock.unlock();
		}
		if (report != null) {
			this.network.broadcast(MessageKind.DEMAND, report);
		}
		this.ready.run();
	}

	private byte[] exchange() {
		List<KnownEntry> others = this.network.peers()
			.stream()
			.map((peer) -> new KnownEntry(peer.vm(), peer.state() == Peer.State.ABSENT))
			.toList();
		boolean before = this.book.isolated();
		EntryDemand own = this.reports.settle(
				new EntryDemand(this.self, this.incarnation, this.sequence, this.queue.running(), this.queue.demand()));
		Allocation next = this.book.allocate(this.capacity.capacity(), this.weights, others, own);
		if (this.book.isolated() != before) {
			LogEvent.of("share-mode-changed")
				.with("isolated", this.book.isolated())
				.with("limit", next.limit())
				.log(LOGGER, Level.INFO);
		}
		this.allocation = next;
		this.queue.allocate(next, this.weights);
		this.sequence++;
		this.reports.retain(others.stream().map(KnownEntry::vm).toList());
		return this.reports.write(new EntryDemand(this.self, this.incarnation, this.sequence,
				Math.max(next.limit(), this.queue.running()), own.clubs()));
	}

	private void receive(VmId sender, byte[] body) {
		this.lock.lock();
		try {
			this.reports.read(body).filter((demand) -> demand.origin().equals(sender)).ifPresent(this.book::report);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void startReady() {
		for (AdmissionTicket<Waiting> ticket = next(); ticket != null; ticket = next()) {
			AdmissionTicket<Waiting> started = ticket;
			this.ready.add(() -> grant(started));
		}
	}

	private @Nullable AdmissionTicket<Waiting> next() {
		return this.queue.poll().orElse(null);
	}

	private void grant(AdmissionTicket<Waiting> ticket) {
		Permit permit = (actualCost) -> release(ticket, actualCost);
		if (ticket.payload().answer().complete(Result.ok(permit))) {
			this.admitted.incrementAndGet();
		}
		else {
			permit.release(0);
		}
	}

	private void release(AdmissionTicket<Waiting> ticket, int actualCost) {
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
			this.predictor.observe(ticket.team(), ticket.payload().declared(), actualCost);
		}
		this.ready.run();
	}

	private void reject(AdmissionTicket<Waiting> ticket) {
		this.rejected.incrementAndGet();
		Problem problem = overloaded("the request could not start early enough before its deadline",
				RETRY_AFTER_EXPIRY);
		this.ready.add(() -> ticket.payload().answer().complete(Result.failed(problem)));
	}

	private void cancelWithCaller(Waiting waiting, AdmissionTicket<Waiting> ticket) {
		waiting.answer().whenComplete((result, failure) -> {
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
			.retryAfter(retryAfter);
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

	private record Waiting(CompletableFuture<Result<Permit>> answer, int declared) {

	}

}
