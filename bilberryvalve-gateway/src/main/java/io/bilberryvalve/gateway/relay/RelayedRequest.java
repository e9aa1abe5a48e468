package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.http.CallerExchange;
import io.bilberryvalve.gateway.http.UpstreamCall;
import io.bilberryvalve.gateway.http.UpstreamListener;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.line.WaitingLine;
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
 * One request on its way from a caller to runners and back: it waits for a place, is
 * sent, and is sent again where that is allowed. All state is confined to the event loop
 * of the caller's connection.
 */
final class RelayedRequest implements UpstreamListener, ReservationRequest.Receiver, StallDetector.Listener {

	private static final System.Logger LOGGER = System.getLogger(RelayedRequest.class.getName());

	/** Connections refused in a row before the request is rejected. */
	private static final int MAX_REFUSED_CONNECTIONS = 3;

	/**
	 * Usual time from the start of a daemon until it knows its configuration, with a
	 * margin.
	 */
	private static final long STARTUP_WAIT_MILLIS = 700;

	/** Rank of streams that continue; routes and teams have ranks from 0. */
	private static final int RESUMED_PRIORITY = -1;

	/** Time for a rejected request to come back while the router starts. */
	private static final long STARTUP_RETRY_MILLIS = 500;

	/**
	 * Time for a request that a runner did not run to come back: about a report's age.
	 */
	private static final long NOT_RUN_RETRY_MILLIS = 250;

	/** A caller that is sent to another daemon may come at once; this covers its list. */
	private static final long LEAVING_RETRY_MILLIS = 100;

	private static final double MILLIS_PER_SECOND = 1000;

	private final RelayContext context;

	private final CallerExchange exchange;

	private final EventLoop loop;

	private final long arrivedAt;

	private final RequestHead request;

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

	private boolean started;

	/** Whether the runners have read the prompt, since the first event has come. */
	private boolean firstEventReceived;

	/** Whether the present response states that the request has not run. */
	private boolean notRun;

	/** Whether the present attempt may have run. */
	private boolean mayHaveRun;

	/** Whether an earlier attempt may have run. */
	private boolean mayHaveRunBefore;

	private boolean done;

	RelayedRequest(RelayContext context, CallerExchange exchange) {
		this.context = context;
		this.exchange = exchange;
		this.loop = (EventLoop) exchange.context().executor();
		this.arrivedAt = context.clock().millis();
		this.request = new RequestHead(exchange.request().headers(), context.dialect());
		this.response = new ResponseRelay(exchange, context.dialect(), this.request.lastEvent(), this::eventArrived);
		this.stallDetector = new StallDetector(context, this.loop, this);
	}

	// A daemon that has just started knows its configuration within a few reads of the
	// store.
	void begin() {
		boolean waits = !this.context.ready() && this.context.whenReady(() -> this.loop.execute(this::start));
		if (!waits) {
			start();
			return;
		}
		this.exchange.onGone(this::callerDisconnected);
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
		RoutingDecision check = RoutingDecision.of(this.request, this.exchange.request().uri(), table);
		if (check instanceof RoutingDecision.Denied denied) {
			this.exchange.respond(denied.status(), new DefaultHttpHeaders(), denied.reason());
			finish(denied.status().code(), denied.reason() + " in version " + table.version());
		}
		else if (check instanceof RoutingDecision.Unavailable unserved) {
			reject(STARTUP_RETRY_MILLIS, unserved.reason());
		}
		else if (check instanceof RoutingDecision.Allowed found) {
			accept(found);
		}
	}

	private void accept(RoutingDecision.Allowed found) {
		this.allowed = found;
		if (this.context.rejectsWhileLeaving(found.timeoutMillis())) {
			reject(LEAVING_RETRY_MILLIS, "this daemon is leaving");
			return;
		}
		this.queue = this.context.reservationQueue(found.service());
		this.deadlineAt = this.arrivedAt + found.timeoutMillis();
		this.exchange.onGone(this::callerDisconnected);
		this.exchange.onWritabilityChanged(this::writabilityChanged);
		this.timer = this.loop.schedule(this::timedOut, this.deadlineAt - this.context.clock().millis(),
				TimeUnit.MILLISECONDS);
		this.context.register(this);
		this.context.retryBudget().request();
		requestReservation(found, this.queue);
	}

	private void requestReservation(RoutingDecision.Allowed now, ReservationQueue from) {
		this.response.reset();
		WaitingLine.Patience patience = this.exchange.started()
				? RelayTimeouts.resumedWaitLimits(this.context.clock().millis(), this.deadlineAt)
				: RelayTimeouts.waitLimits(now.route(), this.arrivedAt, this.deadlineAt);
		// A caller that has a part of its stream is served before those that have
		// nothing.
		int priority = (this.response.lastEvent() != null) ? RESUMED_PRIORITY : now.priority();
		ReservationRequest asked = new ReservationRequest(now.size(), priority, Set.copyOf(this.excluded), patience,
				this);
		this.queued = asked;
		from.submit(asked);
	}

	@Override
	public void granted(Reservation place) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> granted(place));
			return;
		}
		this.queued = null;
		this.reservation = place;
		this.firstEventReceived = false;
		RoutingDecision.Allowed now = this.allowed;
		if (this.done || now == null) {
			releaseReservation();
		}
		else {
			send(now, place);
		}
	}

	@Override
	public void rejected(long retryMillis) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> rejected(retryMillis));
			return;
		}
		this.queued = null;
		ReservationQueue asked = this.queue;
		if (!this.done && asked != null) {
			this.queueLength = asked.waitingCount();
			giveUp(retryMillis, "no place at the runners");
		}
	}

	private void releaseReservation() {
		Reservation place = this.reservation;
		ReservationQueue from = this.queue;
		this.reservation = null;
		this.stallDetector.reservationReleased();
		if (place != null && from != null) {
			from.release(place, this.firstEventReceived);
		}
	}

	private void send(RoutingDecision.Allowed now, Reservation place) {
		this.attempts++;
		this.mayHaveRun = true;
		this.notRun = false;
		this.sentAt = this.context.clock().millis();
		this.stallDetector.recordProgress();
		this.context.metrics().seated(now.route().kind(), this.sentAt - this.arrivedAt);
		FullHttpRequest received = this.exchange.request();
		HttpHeaders headers = this.request.upstreamHeaders(place, this.deadlineAt - this.sentAt, now.team(),
				this.response.lastEvent(), received.content().readableBytes());
		UpstreamCall next = new UpstreamCall(received.method(), received.uri(), headers,
				received.content().retainedDuplicate(), !now.route().repeatable(), this.request.dialect().attempt(),
				this);
		this.call = next;
		this.context.connectionPool(this.loop).send(place.first().address(), next);
	}

	@Override
	public void head(HttpResponse head) {
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
	public void content(ByteBuf content) {
		this.stallDetector.recordProgress();
		this.stallDetector.eventReceived();
		if (!this.response.content(content)) {
			abortAttempt("an event is too long");
		}
	}

	private void eventArrived() {
		Reservation place = this.reservation;
		if (this.firstEventReceived || place == null) {
			return;
		}
		this.firstEventReceived = true;
		if (place.path() != null) {
			this.stallDetector.streamStarted(place);
		}
		this.context.loadTracker().read(place.resources(), place.size());
		if (!this.exchange.started()) {
			this.context.metrics().firstEvent(this.context.clock().millis() - this.arrivedAt);
		}
	}

	@Override
	public void readComplete() {
		this.response.flush();
	}

	@Override
	public void end() {
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
			attemptInterrupted("no usable answer, status " + ((head != null) ? head.status().code() : 0));
		}
	}

	private void succeeded() {
		Reservation place = this.reservation;
		HttpResponse head = this.response.head();
		int status = (head != null) ? head.status().code() : 0;
		if (place != null && status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
			place.runnerIds().forEach(this.context.runnerAvailability()::succeeded);
		}
		finish(status, "answered");
	}

	// A runner stated that it did not run the request, and may have named another as the
	// cause.
	private void notRunByRunner() {
		this.mayHaveRun = this.mayHaveRunBefore;
		HttpResponse head = this.response.head();
		Reservation place = this.reservation;
		if (head != null && place != null) {
			String named = head.headers().get(this.request.dialect().faultyRunner());
			RunnerId runner = runnerAt(named).orElse(place.first().id());
			this.excluded.add(runner);
			if (named != null || head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
				this.context.runnerAvailability().failed(runner, "refused a request with " + head.status().code());
			}
		}
		releaseReservation();
		retryOrGiveUp("not run by the runner", place);
	}

	private Optional<RunnerId> runnerAt(@Nullable String address) {
		try {
			return (address != null)
					? this.context.fleetRegistry().fleet().at(Address.parse(address)).map(ListedRunner::id)
					: Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void refused() {
		Reservation place = this.reservation;
		if (place != null) {
			this.context.runnerAvailability().lost(place.first(), "its address refuses connections");
		}
	}

	@Override
	public void failed(boolean sent, String reason) {
		this.call = null;
		Reservation place = this.reservation;
		if (this.notRun) {
			notRunByRunner();
			return;
		}
		if (place != null) {
			this.context.runnerAvailability().failed(place.first().id(), reason);
			excludeFirstRunner(place);
		}
		if (sent) {
			attemptInterrupted(reason);
		}
		else {
			notSent(reason);
		}
	}

	private void notSent(String reason) {
		this.attempts--;
		this.mayHaveRun = this.mayHaveRunBefore;
		releaseReservation();
		RoutingDecision.Allowed now = this.allowed;
		ReservationQueue from = this.queue;
		if (now != null && from != null && ++this.refusedConnections <= MAX_REFUSED_CONNECTIONS) {
			requestReservation(now, from);
		}
		else {
			giveUp(STARTUP_RETRY_MILLIS, reason);
		}
	}

	private void excludeFirstRunner(@Nullable Reservation place) {
		if (place != null) {
			this.excluded.add(place.first().id());
		}
	}

	private void abortAttempt(String reason) {
		cancelCall();
		excludeFirstRunner(this.reservation);
		attemptInterrupted(reason);
	}

	// The request may have run, and its response will not become complete.
	private void attemptInterrupted(String reason) {
		this.mayHaveRunBefore = true;
		Reservation place = this.reservation;
		releaseReservation();
		if (this.response.committed()) {
			this.exchange.abort();
			finish(0, reason);
		}
		else {
			retryOrGiveUp(reason, place);
		}
	}

	private boolean mayRepeat() {
		RoutingDecision.Allowed now = this.allowed;
		return now != null && now.route().repeatable() && this.attempts < now.route().maxAttempts();
	}

	private void retryOrGiveUp(String reason, @Nullable Reservation place) {
		RoutingDecision.Allowed now = this.allowed;
		ReservationQueue from = this.queue;
		boolean permitted = now != null && this.attempts < now.route().maxAttempts()
				&& (!this.mayHaveRun || now.route().repeatable());
		boolean granted = permitted && this.context.retryBudget().tryRetry();
		logFailedAttempt(reason, place, granted);
		if (granted && now != null && from != null) {
			requestReservation(now, from);
		}
		else {
			giveUp(NOT_RUN_RETRY_MILLIS, reason);
		}
	}

	private void logFailedAttempt(String reason, @Nullable Reservation place, boolean repeated) {
		this.context.metrics().attemptFailed(repeated);
		LogEvent.of("attempt-failed")
			.with("request", this.request.attempt())
			.with("runners", (place != null) ? place.runnerIds() : null)
			.with("blamed", this.blamed.isEmpty() ? null : this.blamed)
			.with("fleet-age", this.context.fleetRegistry().ageMillis())
			.with("sends", this.attempts)
			.with("reason", reason)
			.with("repeat", repeated)
			.with("last-event", this.response.lastEvent())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	// Ends the request without an answer of a runner.
	private void giveUp(long retryMillis, String reason) {
		endWithoutAnswer(HttpResponseStatus.BAD_GATEWAY, retryMillis, reason);
	}

	private void timedOut() {
		if (!this.done) {
			cancelPending();
			endWithoutAnswer(HttpResponseStatus.GATEWAY_TIMEOUT, STARTUP_RETRY_MILLIS, "time limit");
		}
	}

	// Only a request that has certainly not run is rejected.
	private void endWithoutAnswer(HttpResponseStatus unknown, long retryMillis, String reason) {
		if (this.exchange.started()) {
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
		ReservationRequest asked = this.queued;
		ReservationQueue from = this.queue;
		if (asked != null && from != null) {
			from.cancel(asked);
		}
	}

	private void cancelCall() {
		UpstreamCall now = this.call;
		this.call = null;
		if (now != null) {
			now.cancel();
		}
	}

	private void cancelTimer() {
		ScheduledFuture<?> now = this.timer;
		this.timer = null;
		if (now != null) {
			now.cancel(false);
		}
	}

	private void writabilityChanged() {
		UpstreamCall now = this.call;
		if (now != null) {
			now.pause(!this.exchange.writable());
		}
	}

	// Called from any thread. Requests that make progress are not disturbed.
	void checkProgress() {
		if (this.stallDetector.silenceMillis() >= RelayTimeouts.MIN_SILENCE_MILLIS) {
			this.loop.execute(this::checkStall);
		}
	}

	private void checkStall() {
		Reservation place = this.reservation;
		RoutingDecision.Allowed now = this.allowed;
		ReservationQueue from = this.queue;
		boolean leaves = !this.done && this.call != null && mayRepeat() && this.exchange.writable();
		if (leaves && place != null && now != null && from != null) {
			this.stallDetector.check(now.route(), place, this.firstEventReceived, from.prefillBacklogMillis(place));
		}
	}

	// Moves the stream at once if another path has room, so that it has its next event on
	// time; without one it stays, since its runners may go on.
	@Override
	public boolean runnersSuspected(Reservation place, Set<RunnerId> suspects, long silent) {
		RoutingDecision.Allowed now = this.allowed;
		ReservationQueue from = this.queue;
		if (this.done || this.reservation != place || now == null || from == null) {
			return true;
		}
		Set<RunnerId> avoided = new HashSet<>(this.excluded);
		avoided.addAll(suspects);
		Optional<Reservation> next = from.reserveElsewhere(now.size(), avoided);
		if (next.isEmpty()) {
			return false;
		}
		if (!this.context.retryBudget().tryRetry()) {
			from.release(next.get(), false);
			return false;
		}
		cancelCall();
		this.mayHaveRunBefore = true;
		releaseReservation();
		logFailedAttempt("silent with others for " + silent + " ms", place, true);
		this.response.reset();
		granted(next.get());
		return true;
	}

	@Override
	public void pathStalled(Reservation place, Set<RunnerId> causes, long silent) {
		this.excluded.addAll(causes);
		this.blamed.addAll(causes);
		if (!this.done && this.reservation == place) {
			abortAttempt("silent for " + silent + " ms");
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
		RoutingDecision.Allowed now = this.allowed;
		Route route = (now != null) ? now.route() : null;
		Team team = (now != null) ? now.team() : null;
		RouteTable table = this.context.table();
		Reservation place = this.reservation;
		long millis = this.context.clock().millis() - this.arrivedAt;
		if (route != null) {
			this.context.metrics().ended(route.kind(), status, millis);
		}
		LogEvent.of("request-ended")
			.with("request", this.request.attempt())
			.with("route", (route != null) ? route.name() : null)
			.with("team", (team != null) ? team.name() : null)
			.with("configuration", (table != null) ? table.version() : null)
			.with("status", status)
			.with("reason", reason)
			.with("sends", this.attempts)
			.with("runners", (place != null) ? place.runnerIds() : null)
			.with("wait", (this.sentAt > 0) ? this.sentAt - this.arrivedAt : null)
			.with("line", this.queueLength)
			.with("retry-after", this.retryAfterMillis)
			.with("fleet-age", this.context.fleetRegistry().ageMillis())
			.with("millis", millis)
			.with("longest-pause", this.firstEventReceived ? this.stallDetector.longestSilenceMillis() : null)
			.with("last-event", this.response.lastEvent())
			.log(LOGGER, System.Logger.Level.INFO);
	}

}
