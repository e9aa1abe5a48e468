package io.bilberryvalve.gateway.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.http.CallerExchange;
import io.bilberryvalve.gateway.http.UpstreamCall;
import io.bilberryvalve.gateway.http.UpstreamListener;
import io.bilberryvalve.gateway.report.UnansweredCause;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.overload.Backlog;
import io.bilberryvalve.policy.quarantine.PromptParts;
import io.bilberryvalve.policy.queue.WaitQueue;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Relays one request from its caller to the runners and back: waits for slots in the
 * {@link ReservationQueue} of the service, sends the request, and sends it again where
 * that is allowed. An attempt whose runners are silent stays in progress while a backup
 * attempt is made beside it, since its runners may go on; the first attempt that
 * continues the answer is kept, and the others are cancelled. All state is confined to
 * the event loop of the caller's connection.
 */
final class RelayedRequest implements RunnerAttempt.Listener {

	/**
	 * Attempts that could not be sent, as when a connection is refused, before the
	 * request is rejected.
	 */
	private static final int MAX_REFUSED_CONNECTIONS = 3;

	/**
	 * Longest wait for the first configuration. A daemon usually has it within this time
	 * of its start; the value includes a margin.
	 */
	private static final long STARTUP_WAIT_MILLIS = 700;

	/**
	 * Priority of resumed streams. It precedes those of routes and teams, which start at
	 * 0.
	 */
	private static final int RESUMED_PRIORITY = -1;

	/**
	 * Retry delay of a request that is rejected while this daemon starts. It is also used
	 * if the service is not declared, the request could not be sent, or its time limit
	 * ended.
	 */
	private static final long STARTUP_RETRY_MILLIS = 500;

	/**
	 * Retry delay for a request that the runner did not run; about the age of a load
	 * report.
	 */
	private static final long NOT_RUN_RETRY_MILLIS = 250;

	/**
	 * Retry delay while this daemon is leaving. The caller may retry at another daemon at
	 * once; the delay gives it time to refresh its list of daemons.
	 */
	private static final long LEAVING_RETRY_MILLIS = 100;

	/**
	 * Events after which a prompt counts as answered, and its runner's crash as caused by
	 * something else.
	 */
	private static final int ANSWERED_EVENTS = 3;

	/**
	 * Longest time to find out whether a runner has ended. A VM that is up refuses a
	 * connection within a few milliseconds.
	 */
	private static final int CRASH_CHECK_MILLIS = 100;

	private static final String LEAVING_REASON = "this daemon is leaving";

	private static final String HELD_REASON = "a part of the prompt crashes runners";

	private static final double MILLIS_PER_SECOND = 1000;

	private final RelayContext context;

	private final CallerExchange exchange;

	private final EventLoop loop;

	private final long arrivedAt;

	private final RequestHead request;

	private final PromptParts prompt;

	private final CallerResponse response;

	private final RequestLog log;

	/** Attempts that were sent and have not ended, the latest one last. */
	private final List<RunnerAttempt> inProgress = new ArrayList<>();

	private final Set<RunnerId> excluded = new HashSet<>();

	private RoutingDecision.@Nullable Allowed allowed;

	private @Nullable ReservationQueue queue;

	private @Nullable PendingReservation pending;

	private volatile @Nullable RunnerAttempt latest;

	private @Nullable ScheduledFuture<?> timer;

	private long deadlineAt;

	private int sends;

	private int refusedConnections;

	/** Events received in all attempts. */
	private int events;

	private boolean started;

	/** Whether an attempt that is no longer in progress may have run. */
	private boolean mayHaveRunBefore;

	private boolean done;

	RelayedRequest(RelayContext context, CallerExchange exchange) {
		this.context = context;
		this.exchange = exchange;
		this.loop = (EventLoop) exchange.context().executor();
		this.arrivedAt = context.clock().millis() - context.backlog(this.loop).millis();
		this.request = new RequestHead(exchange.request().headers(), context.headerNames());
		this.prompt = this.request.promptParts();
		this.response = new CallerResponse(exchange, this.request.lastEvent());
		this.log = new RequestLog(context, this.request.attempt(), this.arrivedAt);
	}

	// Holds the request back while this daemon starts, since the configuration arrives
	// within a few reads of the store.
	void begin() {
		boolean waits = !this.context.ready()
				&& this.context.whenReady(() -> this.loop.execute(() -> runSafely(this::start)));
		if (!waits) {
			runSafely(this::start);
			return;
		}
		this.exchange.onDisconnect(this::callerDisconnected);
		this.timer = this.loop.schedule(() -> runSafely(this::start), STARTUP_WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	// Ends the request if a step of it throws, so that its caller gets an answer in any
	// case.
	private void runSafely(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			this.log.stepFailed(ex);
			if (!this.done) {
				cancelPending();
				endWithoutAnswer(HttpResponseStatus.BAD_GATEWAY, UnansweredCause.INTERNAL, STARTUP_RETRY_MILLIS,
						"internal error");
			}
		}
	}

	private void start() {
		if (this.started || this.done) {
			return;
		}
		this.started = true;
		cancelTimer();
		RouteTable table = this.context.table();
		if (table == null || !this.context.ready()) {
			reject(STARTUP_RETRY_MILLIS, "no configuration yet");
			return;
		}
		RoutingDecision outcome = RoutingDecision.of(this.request, this.exchange.request().uri(), table);
		if (outcome instanceof RoutingDecision.Denied denied) {
			this.exchange.respond(denied.status(), new DefaultHttpHeaders(), denied.reason());
			finish(denied.status().code(), denied.reason() + " in version " + table.version());
		}
		else if (outcome instanceof RoutingDecision.Unavailable unavailable) {
			reject(STARTUP_RETRY_MILLIS, unavailable.reason());
		}
		else if (outcome instanceof RoutingDecision.Allowed decision) {
			accept(decision);
		}
	}

	private void accept(RoutingDecision.Allowed decision) {
		this.allowed = decision;
		this.log.routed(decision);
		if (this.context.rejectsWhileLeaving(decision.timeoutMillis(), decision.route().isRepeatable())) {
			reject(LEAVING_RETRY_MILLIS, LEAVING_REASON);
			return;
		}
		Backlog backlog = this.context.backlog(this.loop);
		if (backlog.rejects()) {
			reject(backlog.millis() + ThreadLocalRandom.current().nextLong(backlog.millis()),
					"this daemon has a backlog");
			return;
		}
		if (endIfHeld(this.context.partQuarantine().heldMillis(this.prompt))) {
			return;
		}
		this.queue = this.context.reservationQueue(decision.service());
		this.deadlineAt = this.arrivedAt + decision.timeoutMillis();
		this.exchange.onDisconnect(this::callerDisconnected);
		this.exchange.onWritabilityChanged(this::writabilityChanged);
		this.timer = this.loop.schedule(() -> runSafely(this::timedOut),
				this.deadlineAt - this.context.clock().millis(), TimeUnit.MILLISECONDS);
		this.context.register(this);
		this.context.retryBudget().recordRequest();
		requestReservation(decision, this.queue);
	}

	private void requestReservation(RoutingDecision.Allowed decision, ReservationQueue targetQueue) {
		WaitQueue.WaitLimits waitLimits = this.response.isStarted()
				? RelayTimeouts.resumedWaitLimits(this.context.clock().millis(), this.deadlineAt)
				: RelayTimeouts.waitLimits(decision.route(), this.arrivedAt, this.deadlineAt);
		awaitReservation(decision, targetQueue, waitLimits, false);
	}

	// A caller that has received a part of its stream takes precedence over those that
	// have received nothing.
	private void awaitReservation(RoutingDecision.Allowed decision, ReservationQueue targetQueue,
			WaitQueue.WaitLimits waitLimits, boolean elsewhereOnly) {
		int priority = (this.response.lastEvent() != null) ? RESUMED_PRIORITY : decision.priority();
		PendingReservation next = new PendingReservation(this.loop, targetQueue, new PendingReservation.Receiver() {

			@Override
			public boolean accepts(PendingReservation reservation) {
				boolean current = RelayedRequest.this.pending == reservation && !RelayedRequest.this.done;
				if (current) {
					RelayedRequest.this.pending = null;
				}
				return current;
			}

			@Override
			public void granted(Reservation reserved) {
				runSafely(() -> RelayedRequest.this.granted(decision, targetQueue, reserved));
			}

			@Override
			public void rejected(ReservationRequest.Rejection rejection) {
				runSafely(() -> RelayedRequest.this.rejected(targetQueue, rejection));
			}

		});
		this.pending = next;
		next.submit(decision.size(), decision.demand(priority, waitLimits), Set.copyOf(this.excluded), elsewhereOnly);
	}

	// With a backlog, the caller may have left while its request waited in the socket
	// buffer. Scheduled tasks run after the loop has read that.
	private void granted(RoutingDecision.Allowed decision, ReservationQueue targetQueue, Reservation reserved) {
		if (this.context.backlog(this.loop).mayHideDepartures()) {
			this.loop.schedule(() -> runSafely(() -> use(decision, targetQueue, reserved)), 1, TimeUnit.MILLISECONDS);
		}
		else {
			use(decision, targetQueue, reserved);
		}
	}

	private void use(RoutingDecision.Allowed decision, ReservationQueue targetQueue, Reservation reserved) {
		if (this.done || !mayUse(decision)) {
			targetQueue.release(reserved, false);
			return;
		}
		if (!mayHaveRun() && this.context.stopsWithin(reserved)) {
			targetQueue.release(reserved, false);
			giveUp(LEAVING_RETRY_MILLIS, LEAVING_REASON);
			return;
		}
		long heldMillis = isAnswered() ? 0 : this.context.partQuarantine().admit(this.prompt);
		if (heldMillis == 0) {
			send(decision, targetQueue, reserved);
			return;
		}
		targetQueue.release(reserved, false);
		if (this.inProgress.isEmpty()) {
			endIfHeld(heldMillis);
		}
	}

	// A reservation for a backup attempt is used only if the other attempt is still
	// silent and the retry budget allows it.
	private boolean mayUse(RoutingDecision.Allowed decision) {
		RunnerAttempt current = this.latest;
		return this.inProgress.isEmpty() || (current != null && mayRepeat(decision)
				&& current.silenceMillis() >= RelayTimeouts.MIN_SILENCE_MILLIS
				&& this.context.retryBudget().tryRetry());
	}

	// Ends the request if its prompt is not to be sent to a runner now. Callers return at
	// different times, so that few requests decide whether the part is sound.
	private boolean endIfHeld(long millis) {
		if (millis > 0) {
			this.context.metrics().recordHeld();
			giveUp(millis + ThreadLocalRandom.current().nextLong(millis), HELD_REASON);
		}
		return millis > 0;
	}

	// A prompt that was answered before cannot be the cause of crashes.
	private boolean isAnswered() {
		return this.events >= ANSWERED_EVENTS;
	}

	private void rejected(ReservationQueue targetQueue, ReservationRequest.Rejection rejection) {
		if (this.inProgress.isEmpty()) {
			this.log.rejected(rejection, targetQueue.waitingCount());
			giveUp(rejection.retryMillis(), "no place at the runners");
		}
	}

	private void send(RoutingDecision.Allowed decision, ReservationQueue targetQueue, Reservation reserved) {
		this.sends++;
		this.log.sent();
		this.context.metrics()
			.recordReservation(decision.route().kind(), this.context.clock().millis() - this.arrivedAt);
		RunnerAttempt attempt = new RunnerAttempt(this.context, this.loop, targetQueue, reserved, this.response, this);
		this.inProgress.add(attempt);
		this.latest = attempt;
		try {
			attempt.send((reservation, listener) -> createCall(decision, reservation, listener));
			if (!this.exchange.isWritable()) {
				attempt.setPaused(true);
			}
		}
		catch (RuntimeException ex) {
			if (this.inProgress.size() == 1) {
				throw ex;
			}
			// The attempt that is already in progress can still answer.
			this.log.stepFailed(ex);
			cancelAttempt(attempt);
			this.latest = this.inProgress.get(this.inProgress.size() - 1);
		}
	}

	// A repetition uses a new connection, since a late response to an earlier attempt of
	// this request on a kept one would have the same identifier.
	private UpstreamCall createCall(RoutingDecision.Allowed decision, Reservation reserved, UpstreamListener listener) {
		FullHttpRequest received = this.exchange.request();
		HttpHeaders headers = this.request.upstreamHeaders(reserved, this.deadlineAt - this.context.clock().millis(),
				decision.team(), this.response.lastEvent(), received.content().readableBytes());
		return new UpstreamCall(received.method(), received.uri(), headers, received.content().retainedDuplicate(),
				!decision.route().isRepeatable() || this.sends > 1, this.context.headerNames().attemptId(), listener);
	}

	@Override
	public boolean isReplaceable(RunnerAttempt attempt) {
		RoutingDecision.Allowed decision = this.allowed;
		return this.inProgress.size() > 1 || (decision != null && mayRepeat(decision));
	}

	@Override
	public void eventReceived(RunnerAttempt attempt, boolean first) {
		if (++this.events == ANSWERED_EVENTS) {
			this.context.partQuarantine().recordAnswer(this.prompt);
		}
		if (first && !this.response.isStarted()) {
			this.context.metrics().recordFirstEvent(this.context.clock().millis() - this.arrivedAt);
		}
	}

	@Override
	public void selected(RunnerAttempt attempt) {
		this.latest = attempt;
		cancelReservation();
		if (this.inProgress.size() > 1) {
			List<RunnerAttempt> others = new ArrayList<>(this.inProgress);
			others.remove(attempt);
			others.forEach(this::cancelAttempt);
		}
	}

	private void cancelAttempt(RunnerAttempt attempt) {
		this.inProgress.remove(attempt);
		this.mayHaveRunBefore = true;
		attempt.cancel();
	}

	@Override
	public void answered(RunnerAttempt attempt) {
		int status = attempt.status();
		if (this.events > 0) {
			this.context.partQuarantine().recordAnswer(this.prompt);
		}
		if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
			attempt.reservation().runnerIds().forEach(this.context.runnerAvailability()::recordSuccess);
		}
		finish(status, "answered");
	}

	// A reservation that is pending now was meant for a backup attempt, and has not been
	// charged to the retry budget.
	private void removeEnded(RunnerAttempt attempt, RunnerId faulty) {
		this.inProgress.remove(attempt);
		this.excluded.add(faulty);
		if (this.inProgress.isEmpty()) {
			cancelReservation();
		}
		else {
			this.latest = this.inProgress.get(this.inProgress.size() - 1);
		}
	}

	@Override
	public void notRun(RunnerAttempt attempt, RunnerId faulty) {
		removeEnded(attempt, faulty);
		runSafely(() -> continueOrRetry(attempt, "not run by the runner"));
	}

	@Override
	public void notSent(RunnerAttempt attempt, String reason) {
		removeEnded(attempt, attempt.firstRunner().id());
		this.sends--;
		runSafely(() -> reserveAgain(reason));
	}

	private void reserveAgain(String reason) {
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		if (this.done || !this.inProgress.isEmpty()) {
			return;
		}
		if (decision != null && targetQueue != null && ++this.refusedConnections <= MAX_REFUSED_CONNECTIONS) {
			requestReservation(decision, targetQueue);
		}
		else {
			giveUp(STARTUP_RETRY_MILLIS, reason);
		}
	}

	@Override
	public void unusable(RunnerAttempt attempt, String reason) {
		removeEnded(attempt, attempt.firstRunner().id());
		runSafely(() -> interrupted(attempt, reason));
	}

	// If the runner may have crashed because of the prompt, this is found out before the
	// prompt is sent again.
	@Override
	public void brokenOff(RunnerAttempt attempt, String reason) {
		removeEnded(attempt, attempt.firstRunner().id());
		this.mayHaveRunBefore = true;
		runSafely(() -> checkCrash(attempt, reason));
	}

	private void checkCrash(RunnerAttempt attempt, String reason) {
		boolean answered = isAnswered() || this.request.lastEvent() != null;
		if (answered || this.prompt.shared().isEmpty() || attempt.committed()) {
			interrupted(attempt, reason);
			return;
		}
		ListedRunner runner = attempt.firstRunner();
		this.context.connectionPool(this.loop)
			.probe(runner.address(), CRASH_CHECK_MILLIS, (refused) -> runSafely(() -> {
				if (refused) {
					this.log.runnerCrashed(runner, this.prompt);
					this.context.runnerAvailability().markLost(runner, "its address refuses connections");
					this.context.partQuarantine().recordCrash(this.prompt, runner.id(), runner.startedMillis());
				}
				continueOrRetry(attempt, reason);
			}));
	}

	// Handles an attempt that may have run and whose response will not be completed.
	private void interrupted(RunnerAttempt attempt, String reason) {
		this.mayHaveRunBefore = true;
		if (attempt.committed()) {
			this.context.metrics().recordUnanswered(UnansweredCause.RUNNER);
			this.exchange.abort();
			finish(0, reason);
		}
		else {
			continueOrRetry(attempt, reason);
		}
	}

	private boolean mayHaveRun() {
		return this.mayHaveRunBefore || !this.inProgress.isEmpty();
	}

	// Returns whether a request that may have run can be sent once more.
	private boolean mayRepeat(RoutingDecision.Allowed decision) {
		return decision.route().isRepeatable() && this.sends < decision.route().maxAttempts()
				&& this.response.canBeContinued();
	}

	// Leaves the request to another attempt if one is in progress; otherwise sends it
	// again if that is allowed.
	private void continueOrRetry(RunnerAttempt failed, String reason) {
		if (this.done) {
			return;
		}
		if (!this.inProgress.isEmpty() || this.pending != null) {
			this.log.attemptFailed(failed, reason, false, this.sends, this.inProgress.size(),
					this.response.lastEvent());
			return;
		}
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		boolean held = !isAnswered() && this.context.partQuarantine().heldMillis(this.prompt) > 0;
		boolean permitted = decision != null && !held && this.sends < decision.route().maxAttempts()
				&& (!mayHaveRun() || mayRepeat(decision));
		boolean granted = permitted && this.context.retryBudget().tryRetry();
		this.log.attemptFailed(failed, reason, granted, this.sends, 0, this.response.lastEvent());
		if (granted && decision != null && targetQueue != null) {
			requestReservation(decision, targetQueue);
		}
		else {
			long unavailable = (targetQueue != null) ? targetQueue.unavailableMillis() : 0;
			giveUp(Math.max(NOT_RUN_RETRY_MILLIS, unavailable), reason);
		}
	}

	// Ends the request without an answer from a runner.
	private void giveUp(long retryMillis, String reason) {
		endWithoutAnswer(HttpResponseStatus.BAD_GATEWAY, UnansweredCause.RUNNER, retryMillis, reason);
	}

	private void timedOut() {
		if (!this.done) {
			cancelPending();
			endWithoutAnswer(HttpResponseStatus.GATEWAY_TIMEOUT, UnansweredCause.TIME_LIMIT, STARTUP_RETRY_MILLIS,
					"time limit");
		}
	}

	// Ends the request because this daemon stops. May be called on any thread.
	void endOnShutdown() {
		this.loop.execute(() -> {
			if (!this.done) {
				cancelPending();
				endWithoutAnswer(HttpResponseStatus.BAD_GATEWAY, UnansweredCause.SHUTDOWN, LEAVING_RETRY_MILLIS,
						"this daemon stops");
			}
		});
	}

	// Rejects the request with a retry delay only if it has certainly not run, since a
	// caller repeats a rejected request. Otherwise the caller gets the given status,
	// or its response is cut if it has started.
	private void endWithoutAnswer(HttpResponseStatus unknown, UnansweredCause cause, long retryMillis, String reason) {
		if (this.response.isStarted()) {
			this.context.metrics().recordUnanswered(cause);
			this.exchange.abort();
			finish(0, reason);
		}
		else if (mayHaveRun()) {
			this.context.metrics().recordUnanswered(cause);
			this.exchange.respond(unknown, new DefaultHttpHeaders(), reason);
			finish(unknown.code(), reason);
		}
		else {
			reject(retryMillis, reason);
		}
	}

	private void reject(long retryMillis, String reason) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.RETRY_AFTER, retryMillis / MILLIS_PER_SECOND);
		this.log.retryAfter(retryMillis);
		this.exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
		finish(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), reason);
	}

	private void callerDisconnected() {
		if (!this.done) {
			finish(0, "caller left");
		}
	}

	private void cancelPending() {
		cancelReservation();
		List.copyOf(this.inProgress).forEach(this::cancelAttempt);
	}

	private void cancelReservation() {
		PendingReservation current = this.pending;
		this.pending = null;
		if (current != null) {
			current.cancel();
		}
	}

	private void cancelTimer() {
		ScheduledFuture<?> current = this.timer;
		this.timer = null;
		if (current != null) {
			current.cancel(false);
		}
	}

	private void writabilityChanged() {
		boolean pause = !this.exchange.isWritable();
		this.inProgress.forEach((attempt) -> attempt.setPaused(pause));
	}

	// Checks for a stall. May be called on any thread; a request that makes progress
	// causes no work on its event loop.
	void checkProgress() {
		RunnerAttempt current = this.latest;
		if (current != null && current.silenceMillis() >= RelayTimeouts.MIN_SILENCE_MILLIS) {
			this.loop.execute(this::checkStall);
		}
	}

	private void checkStall() {
		RunnerAttempt current = this.latest;
		RoutingDecision.Allowed decision = this.allowed;
		if (!this.done && current != null && decision != null && mayRepeat(decision) && this.exchange.isWritable()) {
			current.checkStall(decision.route());
		}
	}

	// Sends the request to another path at once if one has free slots, so that its next
	// event can still be on time.
	@Override
	public boolean runnersSuspected(RunnerAttempt attempt, Set<RunnerId> suspects, long silenceMillis) {
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		if (this.done || decision == null || targetQueue == null) {
			return true;
		}
		Set<RunnerId> avoided = new HashSet<>(this.excluded);
		avoided.addAll(suspects);
		Optional<Reservation> next = targetQueue.reserveElsewhere(decision.size(), avoided);
		if (next.isEmpty()) {
			return false;
		}
		boolean held = !isAnswered() && this.context.partQuarantine().admit(this.prompt) > 0;
		if (held || !this.context.retryBudget().tryRetry()) {
			targetQueue.release(next.get(), false);
			return false;
		}
		cancelReservation();
		attempt.stopTracking();
		this.log.silent(attempt, next.get(), silenceMillis, this.response.lastEvent());
		send(decision, targetQueue, next.get());
		return true;
	}

	// Requests slots for a backup attempt. The silent one stays in progress, since its
	// runners may go on while the backup attempt is refused or breaks off.
	@Override
	public void stalled(RunnerAttempt attempt, Set<RunnerId> causes, long silenceMillis) {
		this.excluded.addAll(causes);
		this.log.blamed(causes);
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		if (!this.done && this.pending == null && decision != null && targetQueue != null && mayRepeat(decision)) {
			this.log.silent(attempt, null, silenceMillis, this.response.lastEvent());
			awaitReservation(decision, targetQueue,
					RelayTimeouts.resumedWaitLimits(this.context.clock().millis(), this.deadlineAt), true);
		}
	}

	private void finish(int status, String reason) {
		if (this.done) {
			return;
		}
		this.done = true;
		cancelTimer();
		this.log.ended(status, reason, this.sends, this.latest, this.response.lastEvent());
		cancelPending();
		this.context.unregister(this);
	}

}
