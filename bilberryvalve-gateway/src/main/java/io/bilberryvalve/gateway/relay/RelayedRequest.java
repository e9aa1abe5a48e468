package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.http.CallerExchange;
import io.bilberryvalve.gateway.http.UpstreamCall;
import io.bilberryvalve.gateway.http.UpstreamListener;
import io.bilberryvalve.gateway.report.UnansweredCause;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.quarantine.PromptParts;
import io.bilberryvalve.policy.queue.WaitQueue;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Relays one request from its caller to the runners and back: waits for slots in the
 * {@link ReservationQueue} of the service, sends the request, and sends it again where
 * that is allowed. All state is confined to the event loop of the caller's connection.
 */
final class RelayedRequest implements UpstreamListener, ReservationRequest.Receiver, StallDetector.Listener {

	private static final System.Logger LOGGER = System.getLogger(RelayedRequest.class.getName());

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

	private static final String HELD_REASON = "a part of the prompt crashes runners";

	private static final double MILLIS_PER_SECOND = 1000;

	private final RelayContext context;

	private final CallerExchange exchange;

	private final EventLoop loop;

	private final long arrivedAt;

	private final RequestHead request;

	private final PromptParts prompt;

	private final ResponseRelay response;

	private final StallDetector stallDetector;

	private final Set<RunnerId> excluded = new HashSet<>();

	private final Set<RunnerId> blamed = new HashSet<>();

	private RoutingDecision.@Nullable Allowed allowed;

	private @Nullable ReservationQueue queue;

	private @Nullable ReservationRequest queued;

	private @Nullable Reservation reservation;

	private @Nullable UpstreamCall call;

	private @Nullable ScheduledFuture<?> timer;

	private @Nullable Integer queueLength;

	private @Nullable Long retryAfterMillis;

	private long deadlineAt;

	private long sentAt;

	private int attempts;

	private int refusedConnections;

	/** Attempts that were given up because their runners were silent. */
	private int silentAttempts;

	/** Events received in all attempts. */
	private int events;

	private boolean started;

	/**
	 * Whether the first event of this attempt has arrived, so that the runners have
	 * processed the prompt.
	 */
	private boolean firstEventReceived;

	/** Whether the current response states that the runner did not run the request. */
	private boolean notRun;

	/** Whether the current attempt or an earlier one may have run. */
	private boolean mayHaveRun;

	/** Whether an earlier attempt may have run. */
	private boolean mayHaveRunBefore;

	private boolean done;

	RelayedRequest(RelayContext context, CallerExchange exchange) {
		this.context = context;
		this.exchange = exchange;
		this.loop = (EventLoop) exchange.context().executor();
		this.arrivedAt = context.clock().millis();
		this.request = new RequestHead(exchange.request().headers(), context.headerNames());
		this.prompt = this.request.promptParts();
		this.response = new ResponseRelay(exchange, context.headerNames(), this.request.lastEvent(),
				this::eventArrived);
		this.stallDetector = new StallDetector(context, this.loop, this);
	}

	// Holds the request back while this daemon starts, since the configuration arrives
	// within a few reads of the store.
	void begin() {
		boolean waits = !this.context.ready() && this.context.whenReady(() -> this.loop.execute(this::start));
		if (!waits) {
			start();
			return;
		}
		this.exchange.onDisconnect(this::callerDisconnected);
		this.timer = this.loop.schedule(this::start, STARTUP_WAIT_MILLIS, TimeUnit.MILLISECONDS);
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
		if (this.context.rejectsWhileLeaving(decision.timeoutMillis())) {
			reject(LEAVING_RETRY_MILLIS, "this daemon is leaving");
			return;
		}
		if (endIfHeld(this.context.partQuarantine().heldMillis(this.prompt))) {
			return;
		}
		this.queue = this.context.reservationQueue(decision.service());
		this.deadlineAt = this.arrivedAt + decision.timeoutMillis();
		this.exchange.onDisconnect(this::callerDisconnected);
		this.exchange.onWritabilityChanged(this::writabilityChanged);
		this.timer = this.loop.schedule(this::timedOut, this.deadlineAt - this.context.clock().millis(),
				TimeUnit.MILLISECONDS);
		this.context.register(this);
		this.context.retryBudget().recordRequest();
		requestReservation(decision, this.queue);
	}

	private void requestReservation(RoutingDecision.Allowed decision, ReservationQueue targetQueue) {
		this.response.reset();
		WaitQueue.WaitLimits waitLimits = this.exchange.isStarted()
				? RelayTimeouts.resumedWaitLimits(this.context.clock().millis(), this.deadlineAt)
				: RelayTimeouts.waitLimits(decision.route(), this.arrivedAt, this.deadlineAt);
		// A caller that has received a part of its stream takes precedence over those
		// that have received nothing.
		int priority = (this.response.lastEvent() != null) ? RESUMED_PRIORITY : decision.priority();
		ReservationRequest pending = new ReservationRequest(decision.size(), priority, Set.copyOf(this.excluded),
				waitLimits, this);
		this.queued = pending;
		targetQueue.submit(pending);
	}

	@Override
	public void granted(Reservation reserved) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> granted(reserved));
			return;
		}
		this.queued = null;
		this.reservation = reserved;
		this.firstEventReceived = false;
		RoutingDecision.Allowed decision = this.allowed;
		if (this.done || decision == null) {
			releaseReservation();
		}
		else if (isAnswered() || !endIfHeld(this.context.partQuarantine().admit(this.prompt))) {
			send(decision, reserved);
		}
	}

	// Ends the request if its prompt is not to be sent to a runner now. Callers return at
	// different times, so that few requests decide whether the part is sound.
	private boolean endIfHeld(long millis) {
		if (millis > 0) {
			this.context.metrics().recordHeld();
			releaseReservation();
			giveUp(millis + ThreadLocalRandom.current().nextLong(millis), HELD_REASON);
		}
		return millis > 0;
	}

	// A prompt that was answered before cannot be the cause of crashes.
	private boolean isAnswered() {
		return this.events >= ANSWERED_EVENTS;
	}

	@Override
	public void rejected(long retryMillis) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> rejected(retryMillis));
			return;
		}
		this.queued = null;
		ReservationQueue targetQueue = this.queue;
		if (!this.done && targetQueue != null) {
			this.queueLength = targetQueue.waitingCount();
			giveUp(retryMillis, "no place at the runners");
		}
	}

	private void releaseReservation() {
		Reservation reserved = this.reservation;
		ReservationQueue targetQueue = this.queue;
		this.reservation = null;
		this.stallDetector.reservationReleased();
		if (reserved != null && targetQueue != null) {
			targetQueue.release(reserved, this.firstEventReceived);
		}
	}

	private void send(RoutingDecision.Allowed decision, Reservation reserved) {
		this.attempts++;
		this.mayHaveRun = true;
		this.notRun = false;
		this.sentAt = this.context.clock().millis();
		this.stallDetector.recordProgress();
		this.context.metrics().recordReservation(decision.route().kind(), this.sentAt - this.arrivedAt);
		FullHttpRequest received = this.exchange.request();
		HttpHeaders headers = this.request.upstreamHeaders(reserved, this.deadlineAt - this.sentAt, decision.team(),
				this.response.lastEvent(), received.content().readableBytes());
		UpstreamCall next = new UpstreamCall(received.method(), received.uri(), headers,
				received.content().retainedDuplicate(), !decision.route().isRepeatable(),
				this.request.headerNames().attemptId(), this);
		this.call = next;
		this.context.connectionPool(this.loop).send(reserved.firstRunner().address(), next);
	}

	@Override
	public void onHead(HttpResponse head) {
		this.stallDetector.recordProgress();
		switch (this.response.head(head, mayRepeat())) {
			case NOT_RUN -> this.notRun = true;
			case UNUSABLE ->
				abortAttempt("response with status " + head.status().code() + " is not an answer of the runner");
			default -> {
			}
		}
	}

	@Override
	public void onContent(ByteBuf content) {
		this.stallDetector.recordProgress();
		this.stallDetector.eventReceived();
		if (this.response.content(content)) {
			return;
		}
		if (this.notRun) {
			cancelCall();
			notRunByRunner();
		}
		else {
			abortAttempt("an event or a dropped body is too long");
		}
	}

	private void eventArrived() {
		if (++this.events == ANSWERED_EVENTS) {
			this.context.partQuarantine().recordAnswer(this.prompt);
		}
		Reservation reserved = this.reservation;
		if (this.firstEventReceived || reserved == null) {
			return;
		}
		this.firstEventReceived = true;
		if (reserved.path() != null) {
			this.stallDetector.streamStarted(reserved);
		}
		this.context.loadTracker().recordPrefill(reserved.resources(), reserved.size());
		if (!this.exchange.isStarted()) {
			this.context.metrics().recordFirstEvent(this.context.clock().millis() - this.arrivedAt);
		}
	}

	@Override
	public void onReadComplete() {
		this.response.flush();
	}

	@Override
	public void onEnd() {
		this.call = null;
		if (this.notRun) {
			notRunByRunner();
		}
		else if (this.response.end()) {
			succeeded();
		}
		else {
			HttpResponse head = this.response.head();
			excludeFirstRunner(this.reservation);
			attemptBroken("no usable answer, status " + ((head != null) ? head.status().code() : 0));
		}
	}

	private void succeeded() {
		Reservation reserved = this.reservation;
		HttpResponse head = this.response.head();
		int status = (head != null) ? head.status().code() : 0;
		if (this.events > 0) {
			this.context.partQuarantine().recordAnswer(this.prompt);
		}
		if (reserved != null && status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
			reserved.runnerIds().forEach(this.context.runnerAvailability()::recordSuccess);
		}
		finish(status, "answered");
	}

	// The runner stated that it did not run the request. It may have named the address
	// of another runner as the cause.
	private void notRunByRunner() {
		this.mayHaveRun = this.mayHaveRunBefore;
		HttpResponse head = this.response.head();
		Reservation reserved = this.reservation;
		if (head != null && reserved != null) {
			String faultyAddress = head.headers().get(this.request.headerNames().faultyRunner());
			RunnerId runner = runnerAt(faultyAddress).orElse(reserved.firstRunner().id());
			this.excluded.add(runner);
			if (faultyAddress != null || head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
				this.context.runnerAvailability()
					.recordFailure(runner, "refused a request with " + head.status().code());
			}
		}
		releaseReservation();
		retryOrGiveUp("not run by the runner", reserved);
	}

	private Optional<RunnerId> runnerAt(@Nullable String address) {
		try {
			return (address != null) ? this.context.fleetRegistry()
				.snapshot()
				.findByAddress(Address.parse(address))
				.map(ListedRunner::id) : Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void onConnectionRefused() {
		Reservation reserved = this.reservation;
		if (reserved != null) {
			this.context.runnerAvailability().markLost(reserved.firstRunner(), "its address refuses connections");
		}
	}

	@Override
	public void onFailure(boolean sent, String reason) {
		this.call = null;
		Reservation reserved = this.reservation;
		if (this.notRun) {
			notRunByRunner();
			return;
		}
		if (reserved != null) {
			this.context.runnerAvailability().recordFailure(reserved.firstRunner().id(), reason);
			excludeFirstRunner(reserved);
		}
		if (sent) {
			attemptBroken(reason);
		}
		else {
			notSent(reason);
		}
	}

	private void notSent(String reason) {
		this.attempts--;
		this.mayHaveRun = this.mayHaveRunBefore;
		releaseReservation();
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		if (decision != null && targetQueue != null && ++this.refusedConnections <= MAX_REFUSED_CONNECTIONS) {
			requestReservation(decision, targetQueue);
		}
		else {
			giveUp(STARTUP_RETRY_MILLIS, reason);
		}
	}

	private void excludeFirstRunner(@Nullable Reservation reserved) {
		if (reserved != null) {
			this.excluded.add(reserved.firstRunner().id());
		}
	}

	private void abortAttempt(String reason) {
		cancelCall();
		excludeFirstRunner(this.reservation);
		attemptInterrupted(reason);
	}

	// Handles an attempt whose connection the runner closed. If the runner may have
	// crashed because of the prompt, this is found out before the prompt is sent again.
	private void attemptBroken(String reason) {
		Reservation reserved = this.reservation;
		boolean answered = isAnswered() || this.request.lastEvent() != null;
		if (reserved == null || answered || this.prompt.shared().isEmpty() || this.response.committed()) {
			attemptInterrupted(reason);
			return;
		}
		this.mayHaveRunBefore = true;
		releaseReservation();
		ListedRunner runner = reserved.firstRunner();
		this.context.connectionPool(this.loop).probe(runner.address(), CRASH_CHECK_MILLIS, (refused) -> {
			if (refused) {
				recordCrash(runner);
			}
			if (!this.done) {
				retryOrGiveUp(reason, reserved);
			}
		});
	}

	private void recordCrash(ListedRunner runner) {
		this.context.metrics().recordRunnerCrash();
		LogEvent.of("runner-crashed")
			.with("request", this.request.attempt())
			.with("runner", runner.id())
			.with("parts", this.prompt.shared())
			.log(LOGGER, System.Logger.Level.INFO);
		this.context.runnerAvailability().markLost(runner, "its address refuses connections");
		this.context.partQuarantine().recordCrash(this.prompt, runner.id(), runner.startedMillis());
	}

	// Handles an attempt that may have run and whose response will not be completed.
	private void attemptInterrupted(String reason) {
		this.mayHaveRunBefore = true;
		Reservation reserved = this.reservation;
		releaseReservation();
		if (this.response.committed()) {
			this.exchange.abort();
			finish(0, reason);
		}
		else {
			retryOrGiveUp(reason, reserved);
		}
	}

	private boolean mayRepeat() {
		RoutingDecision.Allowed decision = this.allowed;
		return decision != null && decision.route().isRepeatable() && this.attempts < decision.route().maxAttempts();
	}

	private void retryOrGiveUp(String reason, @Nullable Reservation reserved) {
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		boolean held = !isAnswered() && this.context.partQuarantine().heldMillis(this.prompt) > 0;
		boolean permitted = decision != null && !held && this.attempts < decision.route().maxAttempts()
				&& (!this.mayHaveRun || decision.route().isRepeatable());
		boolean granted = permitted && this.context.retryBudget().tryRetry();
		logFailedAttempt(reason, reserved, granted);
		if (granted && decision != null && targetQueue != null) {
			requestReservation(decision, targetQueue);
		}
		else {
			giveUp(NOT_RUN_RETRY_MILLIS, reason);
		}
	}

	private void logFailedAttempt(String reason, @Nullable Reservation reserved, boolean repeated) {
		this.context.metrics().recordFailedAttempt(repeated);
		LogEvent.of("attempt-failed")
			.with("request", this.request.attempt())
			.with("runners", (reserved != null) ? reserved.runnerIds() : null)
			.with("blamed", this.blamed.isEmpty() ? null : this.blamed)
			.with("fleet-age", this.context.fleetRegistry().ageMillis())
			.with("sends", this.attempts)
			.with("reason", reason)
			.with("repeat", repeated)
			.with("last-event", this.response.lastEvent())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	// Ends the request without an answer from a runner.
	private void giveUp(long retryMillis, String reason) {
		recordUnanswered((this.silentAttempts > 0) ? UnansweredCause.SILENCE : UnansweredCause.RUNNER);
		endWithoutAnswer(HttpResponseStatus.BAD_GATEWAY, retryMillis, reason);
	}

	private void recordUnanswered(UnansweredCause cause) {
		if (this.exchange.isStarted() || this.mayHaveRun) {
			this.context.metrics().recordUnanswered(cause);
		}
	}

	private void timedOut() {
		if (!this.done) {
			cancelPending();
			recordUnanswered(UnansweredCause.TIME_LIMIT);
			endWithoutAnswer(HttpResponseStatus.GATEWAY_TIMEOUT, STARTUP_RETRY_MILLIS, "time limit");
		}
	}

	// Rejects the request with a retry delay only if it has certainly not run, since a
	// caller repeats a rejected request. Otherwise the caller gets the given status,
	// or its response is cut if it has started.
	private void endWithoutAnswer(HttpResponseStatus unknown, long retryMillis, String reason) {
		if (this.exchange.isStarted()) {
			this.exchange.abort();
			finish(0, reason);
		}
		else if (this.mayHaveRun) {
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
		this.retryAfterMillis = retryMillis;
		this.exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
		finish(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), reason);
	}

	private void callerDisconnected() {
		if (!this.done) {
			cancelPending();
			finish(0, "caller left");
		}
	}

	private void cancelPending() {
		cancelCall();
		ReservationRequest pending = this.queued;
		ReservationQueue targetQueue = this.queue;
		if (pending != null && targetQueue != null) {
			targetQueue.cancel(pending);
		}
	}

	private void cancelCall() {
		UpstreamCall current = this.call;
		this.call = null;
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
		UpstreamCall current = this.call;
		if (current != null) {
			current.setPaused(!this.exchange.isWritable());
		}
	}

	// Checks for a stall. May be called on any thread; a request that makes progress
	// causes no work on its event loop.
	void checkProgress() {
		if (this.stallDetector.silenceMillis() >= RelayTimeouts.MIN_SILENCE_MILLIS) {
			this.loop.execute(this::checkStall);
		}
	}

	private void checkStall() {
		Reservation reserved = this.reservation;
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		boolean leaves = !this.done && this.call != null && mayRepeat() && this.exchange.isWritable();
		if (leaves && reserved != null && decision != null && targetQueue != null) {
			this.stallDetector.check(decision.route(), reserved, this.firstEventReceived,
					targetQueue.prefillBacklogMillis(reserved));
		}
	}

	// Moves the stream at once if another path has free slots, so that its next event
	// can still be on time. Otherwise it stays, since its runners may continue.
	@Override
	public boolean runnersSuspected(Reservation reserved, Set<RunnerId> suspects, long silenceMillis) {
		RoutingDecision.Allowed decision = this.allowed;
		ReservationQueue targetQueue = this.queue;
		if (this.done || this.reservation != reserved || decision == null || targetQueue == null) {
			return true;
		}
		Set<RunnerId> avoided = new HashSet<>(this.excluded);
		avoided.addAll(suspects);
		Optional<Reservation> next = targetQueue.reserveElsewhere(decision.size(), avoided);
		if (next.isEmpty()) {
			return false;
		}
		if (!this.context.retryBudget().tryRetry()) {
			targetQueue.release(next.get(), false);
			return false;
		}
		cancelCall();
		this.silentAttempts++;
		this.mayHaveRunBefore = true;
		releaseReservation();
		logFailedAttempt("silent with others for " + silenceMillis + " ms", reserved, true);
		this.response.reset();
		granted(next.get());
		return true;
	}

	@Override
	public void pathStalled(Reservation reserved, Set<RunnerId> causes, long silenceMillis) {
		this.excluded.addAll(causes);
		this.blamed.addAll(causes);
		if (!this.done && this.reservation == reserved) {
			this.silentAttempts++;
			abortAttempt("silent for " + silenceMillis + " ms");
		}
	}

	private void finish(int status, String reason) {
		if (this.done) {
			return;
		}
		this.done = true;
		cancelTimer();
		logEnd(status, reason);
		releaseReservation();
		this.response.release();
		this.context.unregister(this);
	}

	private void logEnd(int status, String reason) {
		RoutingDecision.Allowed decision = this.allowed;
		Route route = (decision != null) ? decision.route() : null;
		Team team = (decision != null) ? decision.team() : null;
		RouteTable table = this.context.table();
		Reservation reserved = this.reservation;
		long millis = this.context.clock().millis() - this.arrivedAt;
		if (route != null) {
			this.context.metrics().recordEnd(route.kind(), status, millis);
		}
		LogEvent.of("request-ended")
			.with("request", this.request.attempt())
			.with("route", (route != null) ? route.name() : null)
			.with("team", (team != null) ? team.name() : null)
			.with("configuration", (table != null) ? table.version() : null)
			.with("status", status)
			.with("reason", reason)
			.with("sends", this.attempts)
			.with("runners", (reserved != null) ? reserved.runnerIds() : null)
			.with("wait", (this.sentAt > 0) ? this.sentAt - this.arrivedAt : null)
			.with("silent-attempts", (this.silentAttempts > 0) ? this.silentAttempts : null)
			.with("line", this.queueLength)
			.with("retry-after", this.retryAfterMillis)
			.with("fleet-age", this.context.fleetRegistry().ageMillis())
			.with("millis", millis)
			.with("longest-pause", this.firstEventReceived ? this.stallDetector.longestSilenceMillis() : null)
			.with("last-event", this.response.lastEvent())
			.log(LOGGER, System.Logger.Level.INFO);
	}

}
