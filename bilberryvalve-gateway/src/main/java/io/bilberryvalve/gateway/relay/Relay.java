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
final class Relay implements UpstreamListener, SeatRequest.Receiver, StallCheck.Listener {

	private static final System.Logger LOGGER = System.getLogger(Relay.class.getName());

	/** Connections refused in a row before the request is rejected. */
	private static final int MAX_REFUSED_CONNECTIONS = 3;

	/**
	 * Usual time from the start of a daemon until it knows its configuration, with a
	 * margin.
	 */
	private static final long STARTING_WAIT_MILLIS = 700;

	/** Rank of streams that continue; routes and teams have ranks from 0. */
	private static final int CONTINUED_PRIORITY = -1;

	/** Time for a rejected request to come back while the router starts. */
	private static final long STARTING_RETRY_MILLIS = 500;

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

	private final long arrived;

	private final RequestHead request;

	private final ResponseRelay response;

	private final StallCheck stalls;

	private final Set<RunnerId> excluded = new HashSet<>();

	private final Set<RunnerId> blamed = new HashSet<>();

	private RequestCheck.@Nullable Allowed allowed;

	private @Nullable SeatDesk desk;

	private @Nullable SeatRequest waiting;

	private @Nullable Seat seat;

	private @Nullable UpstreamCall call;

	private @Nullable ScheduledFuture<?> timer;

	private @Nullable Integer lineLength;

	private @Nullable Long retryAfter;

	private long endAt;

	private long seatedAt;

	private int sends;

	private int refusedConnections;

	private boolean begun;

	/** Whether the runners have read the prompt, since the first event has come. */
	private boolean read;

	/** Whether the present response states that the request has not run. */
	private boolean notRun;

	/** Whether the present attempt may have run. */
	private boolean mayHaveRun;

	/** Whether an earlier attempt may have run. */
	private boolean mayHaveRunBefore;

	private boolean done;

	Relay(RelayContext context, CallerExchange exchange) {
		this.context = context;
		this.exchange = exchange;
		this.loop = (EventLoop) exchange.context().executor();
		this.arrived = context.clock().millis();
		this.request = new RequestHead(exchange.request().headers(), context.dialect());
		this.response = new ResponseRelay(exchange, context.dialect(), this.request.lastEvent(), this::promptRead);
		this.stalls = new StallCheck(context, this.loop, this);
	}

	// A daemon that has just started knows its configuration within a few reads of the
	// store.
	void begin() {
		boolean waits = !this.context.ready() && this.context.whenReady(() -> this.loop.execute(this::start));
		if (!waits) {
			start();
			return;
		}
		this.exchange.onDisconnect(this::callerGone);
		this.timer = this.loop.schedule(this::start, STARTING_WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void start() {
		if (this.begun || this.done) {
			return;
		}
		this.begun = true;
		cancelTimer();
		RouteTable table = this.context.table();
		if (table == null || !this.context.ready()) {
			reject(STARTING_RETRY_MILLIS, "no configuration yet");
			return;
		}
		RequestCheck check = RequestCheck.of(this.request, this.exchange.request().uri(), table);
		if (check instanceof RequestCheck.Denied denied) {
			this.exchange.respond(denied.status(), new DefaultHttpHeaders(), denied.reason());
			finish(denied.status().code(), denied.reason() + " in version " + table.version());
		}
		else if (check instanceof RequestCheck.Unserved unserved) {
			reject(STARTING_RETRY_MILLIS, unserved.reason());
		}
		else if (check instanceof RequestCheck.Allowed found) {
			accept(found);
		}
	}

	private void accept(RequestCheck.Allowed found) {
		this.allowed = found;
		if (this.context.refuses(found.limitMillis())) {
			reject(LEAVING_RETRY_MILLIS, "this daemon is leaving");
			return;
		}
		this.desk = this.context.desk(found.service());
		this.endAt = this.arrived + found.limitMillis();
		this.exchange.onDisconnect(this::callerGone);
		this.exchange.onWritabilityChanged(this::writabilityChanged);
		this.timer = this.loop.schedule(this::timeLimitReached, this.endAt - this.context.clock().millis(),
				TimeUnit.MILLISECONDS);
		this.context.started(this);
		this.context.budget().request();
		askForSeat(found, this.desk);
	}

	private void askForSeat(RequestCheck.Allowed now, SeatDesk from) {
		this.response.reset();
		WaitingLine.Patience patience = this.exchange.isStarted()
				? RelayTimes.resumption(this.context.clock().millis(), this.endAt)
				: RelayTimes.patience(now.route(), this.arrived, this.endAt);
		// A caller that has a part of its stream is served before those that have
		// nothing.
		int priority = (this.response.lastEvent() != null) ? CONTINUED_PRIORITY : now.priority();
		SeatRequest asked = new SeatRequest(now.size(), priority, Set.copyOf(this.excluded), patience, this);
		this.waiting = asked;
		from.ask(asked);
	}

	@Override
	public void seated(Seat place) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> seated(place));
			return;
		}
		this.waiting = null;
		this.seat = place;
		this.read = false;
		RequestCheck.Allowed now = this.allowed;
		if (this.done || now == null) {
			releaseSeat();
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
		this.waiting = null;
		SeatDesk asked = this.desk;
		if (!this.done && asked != null) {
			this.lineLength = asked.waiting();
			giveUp(retryMillis, "no place at the runners");
		}
	}

	private void releaseSeat() {
		Seat place = this.seat;
		SeatDesk from = this.desk;
		this.seat = null;
		this.stalls.left();
		if (place != null && from != null) {
			from.release(place, this.read);
		}
	}

	private void send(RequestCheck.Allowed now, Seat place) {
		this.sends++;
		this.mayHaveRun = true;
		this.notRun = false;
		this.seatedAt = this.context.clock().millis();
		this.stalls.progress();
		this.context.metrics().recordReservation(now.route().kind(), this.seatedAt - this.arrived);
		FullHttpRequest received = this.exchange.request();
		HttpHeaders headers = this.request.upstream(place, this.endAt - this.seatedAt, now.team(),
				this.response.lastEvent(), received.content().readableBytes());
		UpstreamCall next = new UpstreamCall(received.method(), received.uri(), headers,
				received.content().retainedDuplicate(), !now.route().isRepeatable(), this.request.dialect().attemptId(),
				this);
		this.call = next;
		this.context.pool(this.loop).send(place.first().address(), next);
	}

	@Override
	public void onHead(HttpResponse head) {
		this.stalls.progress();
		switch (this.response.head(head, mayRepeat())) {
			case NOT_RUN -> this.notRun = true;
			case UNUSABLE ->
				breakOff("response with status " + head.status().code() + " is not an answer of the runner");
			default -> {
			}
		}
	}

	@Override
	public void onContent(ByteBuf content) {
		this.stalls.progress();
		this.stalls.event();
		if (!this.response.content(content)) {
			breakOff("an event is too long");
		}
	}

	private void promptRead() {
		Seat place = this.seat;
		if (this.read || place == null) {
			return;
		}
		this.read = true;
		if (place.path() != null) {
			this.stalls.started(place);
		}
		this.context.loads().read(place.parts(), place.size());
		if (!this.exchange.isStarted()) {
			this.context.metrics().recordFirstEvent(this.context.clock().millis() - this.arrived);
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
			exclude(this.seat);
			interrupted("no usable answer, status " + ((head != null) ? head.status().code() : 0));
		}
	}

	private void succeeded() {
		Seat place = this.seat;
		HttpResponse head = this.response.head();
		int status = (head != null) ? head.status().code() : 0;
		if (place != null && status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
			place.ids().forEach(this.context.trust()::succeeded);
		}
		finish(status, "answered");
	}

	// A runner stated that it did not run the request, and may have named another as the
	// cause.
	private void notRunByRunner() {
		this.mayHaveRun = this.mayHaveRunBefore;
		HttpResponse head = this.response.head();
		Seat place = this.seat;
		if (head != null && place != null) {
			String named = head.headers().get(this.request.dialect().faultyRunner());
			RunnerId runner = runnerAt(named).orElse(place.first().id());
			this.excluded.add(runner);
			if (named != null || head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
				this.context.trust().failed(runner, "refused a request with " + head.status().code());
			}
		}
		releaseSeat();
		again("not run by the runner", place);
	}

	private Optional<RunnerId> runnerAt(@Nullable String address) {
		try {
			return (address != null) ? this.context.board().fleet().at(Address.parse(address)).map(ListedRunner::id)
					: Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void onConnectionRefused() {
		Seat place = this.seat;
		if (place != null) {
			this.context.trust().lost(place.first(), "its address refuses connections");
		}
	}

	@Override
	public void onFailure(boolean sent, String reason) {
		this.call = null;
		Seat place = this.seat;
		if (this.notRun) {
			notRunByRunner();
			return;
		}
		if (place != null) {
			this.context.trust().failed(place.first().id(), reason);
			exclude(place);
		}
		if (sent) {
			interrupted(reason);
		}
		else {
			notSent(reason);
		}
	}

	private void notSent(String reason) {
		this.sends--;
		this.mayHaveRun = this.mayHaveRunBefore;
		releaseSeat();
		RequestCheck.Allowed now = this.allowed;
		SeatDesk from = this.desk;
		if (now != null && from != null && ++this.refusedConnections <= MAX_REFUSED_CONNECTIONS) {
			askForSeat(now, from);
		}
		else {
			giveUp(STARTING_RETRY_MILLIS, reason);
		}
	}

	private void exclude(@Nullable Seat place) {
		if (place != null) {
			this.excluded.add(place.first().id());
		}
	}

	private void breakOff(String reason) {
		cancelCall();
		exclude(this.seat);
		interrupted(reason);
	}

	// The request may have run, and its response will not become complete.
	private void interrupted(String reason) {
		this.mayHaveRunBefore = true;
		Seat place = this.seat;
		releaseSeat();
		if (this.response.unrepeatable()) {
			this.exchange.abort();
			finish(0, reason);
		}
		else {
			again(reason, place);
		}
	}

	private boolean mayRepeat() {
		RequestCheck.Allowed now = this.allowed;
		return now != null && now.route().isRepeatable() && this.sends < now.route().maxAttempts();
	}

	private void again(String reason, @Nullable Seat place) {
		RequestCheck.Allowed now = this.allowed;
		SeatDesk from = this.desk;
		boolean permitted = now != null && this.sends < now.route().maxAttempts()
				&& (!this.mayHaveRun || now.route().isRepeatable());
		boolean granted = permitted && this.context.budget().tryRetry();
		logFailedAttempt(reason, place, granted);
		if (granted && now != null && from != null) {
			askForSeat(now, from);
		}
		else {
			giveUp(NOT_RUN_RETRY_MILLIS, reason);
		}
	}

	private void logFailedAttempt(String reason, @Nullable Seat place, boolean repeated) {
		this.context.metrics().recordFailedAttempt(repeated);
		LogEvent.of("attempt-failed")
			.with("request", this.request.attempt())
			.with("runners", (place != null) ? place.ids() : null)
			.with("blamed", this.blamed.isEmpty() ? null : this.blamed)
			.with("fleet-age", this.context.board().ageMillis())
			.with("sends", this.sends)
			.with("reason", reason)
			.with("repeat", repeated)
			.with("last-event", this.response.lastEvent())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	// Ends the request without an answer of a runner.
	private void giveUp(long retryMillis, String reason) {
		endWithout(HttpResponseStatus.BAD_GATEWAY, retryMillis, reason);
	}

	private void timeLimitReached() {
		if (!this.done) {
			stop();
			endWithout(HttpResponseStatus.GATEWAY_TIMEOUT, STARTING_RETRY_MILLIS, "time limit");
		}
	}

	// Only a request that has certainly not run is rejected.
	private void endWithout(HttpResponseStatus unknown, long retryMillis, String reason) {
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
		this.retryAfter = retryMillis;
		this.exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
		finish(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), reason);
	}

	private void callerGone() {
		if (!this.done) {
			stop();
			finish(0, "caller left");
		}
	}

	private void stop() {
		cancelCall();
		SeatRequest asked = this.waiting;
		SeatDesk from = this.desk;
		if (asked != null && from != null) {
			from.withdraw(asked);
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
			now.setPaused(!this.exchange.isWritable());
		}
	}

	// Called from any thread. Requests that make progress are not disturbed.
	void checkProgress() {
		if (this.stalls.silentMillis() >= RelayTimes.LEAST_SILENCE_MILLIS) {
			this.loop.execute(this::checkStall);
		}
	}

	private void checkStall() {
		Seat place = this.seat;
		RequestCheck.Allowed now = this.allowed;
		SeatDesk from = this.desk;
		boolean leaves = !this.done && this.call != null && mayRepeat() && this.exchange.isWritable();
		if (leaves && place != null && now != null && from != null) {
			this.stalls.check(now.route(), place, this.read, from.backlogMillis(place));
		}
	}

	// Moves the stream at once if another path has room, so that it has its next event on
	// time; without one it stays, since its runners may go on.
	@Override
	public boolean suspected(Seat place, Set<RunnerId> suspects, long silent) {
		RequestCheck.Allowed now = this.allowed;
		SeatDesk from = this.desk;
		if (this.done || this.seat != place || now == null || from == null) {
			return true;
		}
		Set<RunnerId> avoided = new HashSet<>(this.excluded);
		avoided.addAll(suspects);
		Optional<Seat> next = from.takeElsewhere(now.size(), avoided);
		if (next.isEmpty()) {
			return false;
		}
		if (!this.context.budget().tryRetry()) {
			from.release(next.get(), false);
			return false;
		}
		cancelCall();
		this.mayHaveRunBefore = true;
		releaseSeat();
		logFailedAttempt("silent with others for " + silent + " ms", place, true);
		this.response.reset();
		seated(next.get());
		return true;
	}

	@Override
	public void stalled(Seat place, Set<RunnerId> causes, long silent) {
		this.excluded.addAll(causes);
		this.blamed.addAll(causes);
		if (!this.done && this.seat == place) {
			breakOff("silent for " + silent + " ms");
		}
	}

	private void finish(int status, String reason) {
		if (this.done) {
			return;
		}
		this.done = true;
		cancelTimer();
		log(status, reason);
		releaseSeat();
		this.response.release();
		this.context.ended(this);
	}

	private void log(int status, String reason) {
		RequestCheck.Allowed now = this.allowed;
		Route route = (now != null) ? now.route() : null;
		Team team = (now != null) ? now.team() : null;
		RouteTable table = this.context.table();
		Seat place = this.seat;
		long millis = this.context.clock().millis() - this.arrived;
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
			.with("sends", this.sends)
			.with("runners", (place != null) ? place.ids() : null)
			.with("wait", (this.seatedAt > 0) ? this.seatedAt - this.arrived : null)
			.with("line", this.lineLength)
			.with("retry-after", this.retryAfter)
			.with("fleet-age", this.context.board().ageMillis())
			.with("millis", millis)
			.with("longest-pause", this.read ? this.stalls.longestSilenceMillis() : null)
			.with("last-event", this.response.lastEvent())
			.log(LOGGER, System.Logger.Level.INFO);
	}

}
