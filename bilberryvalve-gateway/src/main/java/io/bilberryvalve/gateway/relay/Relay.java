package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.http.CallerExchange;
import io.bilberryvalve.gateway.http.Dialect;
import io.bilberryvalve.gateway.http.UpstreamCall;
import io.bilberryvalve.gateway.http.UpstreamListener;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.line.WaitingLine;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * One request on its way from a caller to runners and back. All state is confined to the
 * event loop of the caller's connection.
 */
final class Relay implements UpstreamListener, SeatRequest.Receiver {

	private static final System.Logger LOGGER = System.getLogger(Relay.class.getName());

	/** Longer plain responses are passed on while they arrive. */
	private static final int MAX_BUFFERED_BYTES = 1 << 20;

	/** Connections refused in a row before the request is rejected. */
	private static final int MAX_REFUSED_CONNECTIONS = 3;

	/** Time until a silent path on which no runner is stalled is looked at again. */
	private static final long DIAGNOSE_AGAIN_MILLIS = 400;

	/**
	 * Usual time from the start of a daemon until it knows its configuration, with a
	 * margin.
	 */
	private static final long STARTING_WAIT_MILLIS = 700;

	/** Time for a rejected request to come back while the router starts. */
	private static final long STARTING_RETRY_MILLIS = 500;

	/** A caller that is sent to another daemon may come at once; this covers its list. */
	private static final long LEAVING_RETRY_MILLIS = 100;

	private static final double MILLIS_PER_SECOND = 1000;

	private final RelayContext context;

	private final CallerExchange exchange;

	private final EventLoop loop;

	private final long arrived;

	private final RequestHead request;

	private final Set<RunnerId> excluded = new HashSet<>();

	private @Nullable Route route;

	private @Nullable Team team;

	private @Nullable SeatDesk desk;

	private @Nullable SeatRequest waiting;

	private @Nullable Seat seat;

	private @Nullable UpstreamCall call;

	private @Nullable ScheduledFuture<?> timer;

	private @Nullable HttpResponse head;

	private @Nullable CompositeByteBuf body;

	private @Nullable EventSplitter events;

	private @Nullable String lastEvent;

	private RequestSize size = new RequestSize(0, 0);

	private Mode mode = Mode.IDLE;

	private long endAt;

	private long seatedAt;

	private long progressAt;

	private int sends;

	private int refusedConnections;

	private boolean read;

	/** Whether the present attempt may have run. */
	private boolean mayHaveRun;

	/** Whether an earlier attempt may have run. */
	private boolean mayHaveRunBefore;

	private boolean done;

	private boolean diagnosing;

	private @Nullable Integer lineLength;

	private @Nullable Long retryAfter;

	private final Set<RunnerId> blamed = new HashSet<>();

	private long diagnoseAfter;

	Relay(RelayContext context, CallerExchange exchange) {
		this.context = context;
		this.exchange = exchange;
		this.loop = (EventLoop) exchange.context().executor();
		this.arrived = context.clock().millis();
		this.request = new RequestHead(exchange.request().headers(), context.dialect());
	}

	private Dialect dialect() {
		return this.context.dialect();
	}

	// A daemon that has just started knows its configuration within a few reads of the
	// store.
	void begin() {
		boolean waits = !this.context.ready() && this.context.whenReady(() -> this.loop.execute(this::startIfWaiting));
		if (!waits) {
			start();
			return;
		}
		this.exchange.onGone(this::callerGone);
		this.timer = this.loop.schedule(this::startIfWaiting, STARTING_WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void startIfWaiting() {
		ScheduledFuture<?> waitingForStart = this.timer;
		if (!this.done && waitingForStart != null && this.mode == Mode.IDLE) {
			waitingForStart.cancel(false);
			this.timer = null;
			this.mode = Mode.WAITING;
			start();
		}
	}

	// Checks the request against the configuration and asks for a place.
	void start() {
		RouteTable table = this.context.table();
		if (table == null || !this.context.ready()) {
			reject(STARTING_RETRY_MILLIS, "no configuration yet");
			return;
		}
		Optional<Route> found = table.route(this.request.host(), this.exchange.request().uri());
		if (found.isEmpty()) {
			deny(HttpResponseStatus.NOT_FOUND, "no route for this host and path", table);
			return;
		}
		Route chosen = found.get();
		String attempt = this.request.attempt();
		this.route = chosen;
		if (attempt == null) {
			deny(HttpResponseStatus.BAD_REQUEST, "the request has no " + dialect().attempt(), table);
			return;
		}
		if (table.needsKey() && !chosen.open()) {
			Optional<Team> owner = table.team(this.request.key());
			if (owner.isEmpty()) {
				deny(HttpResponseStatus.UNAUTHORIZED, "the key is unknown", table);
				return;
			}
			this.team = owner.get();
		}
		Optional<Service> service = table.service(chosen.service(attempt.hashCode()));
		if (service.isEmpty()) {
			reject(STARTING_RETRY_MILLIS, "the service of the route is not declared");
			return;
		}
		this.desk = this.context.desk(service.get());
		EngineProfile engine = service.get().engine();
		if (engine != null) {
			this.size = this.request.size(engine);
		}
		long limit = Math.min(chosen.timeout().toMillis(), this.request.deadlineMillis(chosen.timeout().toMillis()));
		if (this.context.refuses(limit)) {
			reject(LEAVING_RETRY_MILLIS, "this daemon is leaving");
			return;
		}
		this.endAt = this.arrived + limit;
		this.lastEvent = this.request.lastEvent();
		this.exchange.onGone(this::callerGone);
		this.exchange.onWritabilityChanged(this::writabilityChanged);
		this.timer = this.loop.schedule(this::timeLimitReached, this.endAt - this.context.clock().millis(),
				TimeUnit.MILLISECONDS);
		this.context.started(this);
		this.context.budget().request();
		askForSeat(chosen);
	}

	private void askForSeat(Route now) {
		SeatDesk desk = this.desk;
		if (desk == null) {
			throw new IllegalStateException("no service chosen");
		}
		this.mode = Mode.WAITING;
		SeatRequest request = new SeatRequest(this.size, priority(now), Set.copyOf(this.excluded), patience(now), this);
		this.waiting = request;
		desk.ask(request);
	}

	private int priority(Route now) {
		Team owner = this.team;
		OptionalInt own = (owner != null) ? owner.priority() : OptionalInt.empty();
		return own.orElse(now.priority());
	}

	private WaitingLine.Patience patience(Route now) {
		return this.exchange.started() ? RelayTimes.resumption(this.context.clock().millis(), this.endAt)
				: RelayTimes.patience(now, this.arrived, this.endAt);
	}

	@Override
	public void seated(Seat place) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> seated(place));
			return;
		}
		this.waiting = null;
		if (this.done) {
			release(place, false);
		}
		else {
			this.seat = place;
			this.read = false;
			send(place);
		}
	}

	@Override
	public void rejected(long retryMillis) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> rejected(retryMillis));
			return;
		}
		this.waiting = null;
		if (!this.done) {
			SeatDesk asked = this.desk;
			this.lineLength = (asked != null) ? asked.waiting() : 0;
			giveUp(retryMillis, "no place at the runners");
		}
	}

	private void release(Seat place, boolean promptRead) {
		SeatDesk desk = this.desk;
		if (desk != null) {
			desk.release(place, promptRead);
		}
	}

	private void releaseSeat() {
		Seat place = this.seat;
		this.seat = null;
		if (place != null) {
			release(place, this.read);
		}
	}

	private void send(Seat place) {
		this.mode = Mode.SENT;
		this.sends++;
		this.mayHaveRun = true;
		this.head = null;
		this.seatedAt = this.context.clock().millis();
		this.progressAt = this.seatedAt;
		Route now = this.route;
		if (now != null) {
			this.context.metrics().seated(now.kind(), this.seatedAt - this.arrived);
		}
		boolean fresh = now == null || !now.repeatable();
		FullHttpRequest received = this.exchange.request();
		HttpHeaders headers = this.request.upstream(place, this.endAt - this.seatedAt, this.team, this.lastEvent,
				received.content().readableBytes());
		UpstreamCall next = new UpstreamCall(received.method(), received.uri(), headers,
				received.content().retainedDuplicate(), fresh, dialect().attempt(), this);
		this.call = next;
		this.context.pool(this.loop).send(place.first().address(), next);
	}

	@Override
	public void head(HttpResponse response) {
		this.progressAt = this.context.clock().millis();
		HttpHeaders headers = response.headers();
		int status = response.status().code();
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		if (headers.contains(dialect().notRun()) || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			this.head = response;
			this.mode = Mode.NOT_RUN;
		}
		else if (success
				&& (!headers.contains(dialect().seal()) || headers.contains(HttpHeaderNames.CONTENT_ENCODING))) {
			breakOff("response is not sealed or is encoded");
		}
		else if (!success && this.exchange.started()) {
			breakOff("resumption answered with " + status);
		}
		else if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() && mayRepeat()) {
			this.mode = Mode.FAILED;
			this.head = response;
		}
		else if (success && isEventStream(headers)) {
			startStream(response);
		}
		else {
			this.mode = Mode.BUFFER;
			this.head = response;
			this.body = this.exchange.context().alloc().compositeBuffer();
		}
	}

	private static boolean isEventStream(HttpHeaders headers) {
		return headers.get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream");
	}

	private void startStream(HttpResponse response) {
		this.mode = Mode.STREAM;
		this.head = response;
		EventSplitter splitter = this.events;
		if (splitter == null) {
			this.events = new EventSplitter(this.exchange.context().alloc());
		}
		else {
			splitter.reset();
		}
	}

	@Override
	public void content(ByteBuf content) {
		this.progressAt = this.context.clock().millis();
		CompositeByteBuf buffered = this.body;
		EventSplitter splitter = this.events;
		if (this.mode == Mode.BUFFER && buffered != null) {
			buffered.addComponent(true, content.retainedSlice());
			if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
				passOn(buffered);
			}
		}
		else if (this.mode == Mode.PASS) {
			this.exchange.write(content.retainedSlice());
		}
		else if (this.mode == Mode.STREAM && splitter != null) {
			if (!splitter.add(content)) {
				breakOff("an event is too long");
				return;
			}
			for (EventSplitter.Event event = splitter.next(); event != null; event = splitter.next()) {
				deliver(event);
			}
		}
	}

	private void passOn(CompositeByteBuf buffered) {
		this.mode = Mode.PASS;
		this.body = null;
		startResponse();
		this.exchange.write(buffered);
	}

	private void startResponse() {
		HttpResponse response = this.head;
		if (response != null && !this.exchange.started()) {
			HttpHeaders headers = Headers.passing(response.headers());
			this.exchange.start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
		}
	}

	private void deliver(EventSplitter.Event event) {
		promptRead();
		String id = event.id();
		if (id != null) {
			if (isDelivered(id)) {
				event.bytes().release();
				return;
			}
			this.lastEvent = id;
		}
		startResponse();
		this.exchange.write(event.bytes());
	}

	// A resumed runner may repeat events that the caller already has.
	private boolean isDelivered(String id) {
		String last = this.lastEvent;
		if (last == null || !this.exchange.started()) {
			return false;
		}
		try {
			return Long.parseLong(id) <= Long.parseLong(last);
		}
		catch (NumberFormatException ex) {
			return id.equals(last);
		}
	}

	private void promptRead() {
		Seat place = this.seat;
		if (!this.read && place != null) {
			this.read = true;
			if (!this.exchange.started()) {
				this.context.metrics().firstEvent(this.context.clock().millis() - this.arrived);
			}
			this.context.loads().read(place.parts(), place.size());
		}
	}

	@Override
	public void readComplete() {
		if (this.mode == Mode.STREAM || this.mode == Mode.PASS) {
			this.exchange.flush();
		}
	}

	@Override
	public void end() {
		this.call = null;
		EventSplitter splitter = this.events;
		switch (this.mode) {
			case NOT_RUN -> notRunByRunner();
			case FAILED -> repeatAfterFailure();
			case STREAM -> {
				if (splitter != null && splitter.partial()) {
					interrupted("stream ended within an event");
				}
				else {
					startResponse();
					this.exchange.end();
					succeeded();
				}
			}
			case PASS -> {
				this.exchange.end();
				succeeded();
			}
			default -> respondBuffered();
		}
	}

	private void respondBuffered() {
		HttpResponse response = this.head;
		CompositeByteBuf buffered = this.body;
		this.body = null;
		if (response == null || buffered == null) {
			interrupted("response without head");
			return;
		}
		this.exchange.respond(response.status(), Headers.passing(response.headers()), buffered);
		succeeded();
	}

	private void succeeded() {
		Seat place = this.seat;
		HttpResponse response = this.head;
		int status = (response != null) ? response.status().code() : 0;
		if (place != null && status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
			place.ids().forEach(this.context.trust()::succeeded);
		}
		finish(status, "answered");
	}

	// A runner stated that it did not run the request.
	private void notRunByRunner() {
		this.mayHaveRun = this.mayHaveRunBefore;
		HttpResponse response = this.head;
		Seat place = this.seat;
		if (response != null && place != null) {
			String named = response.headers().get(dialect().faultyRunner());
			RunnerId runner = faulty(named).orElse(place.first().id());
			this.excluded.add(runner);
			if (named != null || response.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
				this.context.trust().failed(runner, "refused a request with " + response.status().code());
			}
		}
		releaseSeat();
		again("not run by the runner", place);
	}

	private Optional<RunnerId> faulty(@Nullable String address) {
		if (address == null) {
			return Optional.empty();
		}
		try {
			return this.context.board().fleet().at(Address.parse(address)).map(ListedRunner::id);
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private void repeatAfterFailure() {
		this.mayHaveRunBefore = true;
		Seat place = this.seat;
		if (place != null) {
			this.excluded.add(place.first().id());
		}
		releaseSeat();
		again("the runner answered with a failure", place);
	}

	@Override
	public void failed(boolean sent, String reason) {
		this.call = null;
		Seat place = this.seat;
		if (this.mode == Mode.NOT_RUN) {
			notRunByRunner();
			return;
		}
		if (place != null) {
			this.context.trust().failed(place.first().id(), reason);
			this.excluded.add(place.first().id());
		}
		if (sent) {
			interrupted(reason);
			return;
		}
		this.sends--;
		this.mayHaveRun = this.mayHaveRunBefore;
		releaseSeat();
		Route now = this.route;
		if (now != null && ++this.refusedConnections <= MAX_REFUSED_CONNECTIONS) {
			askForSeat(now);
		}
		else {
			giveUp(STARTING_RETRY_MILLIS, reason);
		}
	}

	private void breakOff(String reason) {
		UpstreamCall now = this.call;
		this.call = null;
		if (now != null) {
			now.cancel();
		}
		Seat place = this.seat;
		if (place != null) {
			this.excluded.add(place.first().id());
		}
		interrupted(reason);
	}

	// The request may have run, and its response will not become complete.
	private void interrupted(String reason) {
		this.mayHaveRunBefore = true;
		CompositeByteBuf buffered = this.body;
		this.body = null;
		if (buffered != null) {
			buffered.release();
		}
		Seat place = this.seat;
		releaseSeat();
		if (this.mode == Mode.PASS) {
			this.exchange.abort();
			finish(0, reason);
			return;
		}
		again(reason, place);
	}

	private boolean mayRepeat() {
		Route now = this.route;
		return now != null && now.repeatable() && this.sends < now.maxAttempts();
	}

	private void again(String reason, @Nullable Seat place) {
		Route now = this.route;
		boolean allowed = now != null && this.sends < now.maxAttempts() && (!this.mayHaveRun || now.repeatable());
		boolean granted = allowed && this.context.budget().tryRetry();
		this.context.metrics().attemptFailed(granted);
		LogEvent.of("attempt-failed")
			.with("request", this.request.attempt())
			.with("runners", (place != null) ? place.ids() : null)
			.with("blamed", this.blamed.isEmpty() ? null : this.blamed)
			.with("fleet-age", this.context.board().ageMillis())
			.with("sends", this.sends)
			.with("reason", reason)
			.with("repeat", granted)
			.with("last-event", this.lastEvent)
			.log(LOGGER, System.Logger.Level.INFO);
		if (granted && now != null) {
			askForSeat(now);
		}
		else {
			giveUp(STARTING_RETRY_MILLIS / 2, reason);
		}
	}

	// Ends the request without an answer of a runner.
	private void giveUp(long retryMillis, String reason) {
		if (this.exchange.started()) {
			this.exchange.abort();
			finish(0, reason);
		}
		else if (this.mayHaveRun) {
			this.exchange.respond(HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders(), reason);
			finish(HttpResponseStatus.BAD_GATEWAY.code(), reason);
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

	private void deny(HttpResponseStatus status, String reason, RouteTable table) {
		this.exchange.respond(status, new DefaultHttpHeaders(), reason);
		finish(status.code(), reason + " in version " + table.version());
	}

	private void timeLimitReached() {
		if (this.done) {
			return;
		}
		stopUpstream();
		if (this.exchange.started()) {
			this.exchange.abort();
			finish(0, "time limit");
		}
		else if (this.mayHaveRun) {
			this.exchange.respond(HttpResponseStatus.GATEWAY_TIMEOUT, new DefaultHttpHeaders(),
					"no answer within the time limit");
			finish(HttpResponseStatus.GATEWAY_TIMEOUT.code(), "time limit");
		}
		else {
			reject(STARTING_RETRY_MILLIS, "no place within the time limit");
		}
	}

	private void callerGone() {
		if (!this.done) {
			stopUpstream();
			finish(0, "caller left");
		}
	}

	private void stopUpstream() {
		UpstreamCall now = this.call;
		this.call = null;
		if (now != null) {
			now.cancel();
		}
		SeatRequest asked = this.waiting;
		SeatDesk desk = this.desk;
		if (asked != null && desk != null) {
			desk.withdraw(asked);
		}
	}

	private void writabilityChanged() {
		UpstreamCall now = this.call;
		if (now != null) {
			now.pause(!this.exchange.writable());
		}
	}

	// Detects silence of runners. Called from any thread.
	void checkProgress() {
		this.loop.execute(() -> {
			Seat place = this.seat;
			Route now = this.route;
			if (this.done || place == null || now == null || this.call == null || this.diagnosing || !mayRepeat()
					|| !this.exchange.writable()) {
				return;
			}
			long silent = this.context.clock().millis() - this.progressAt;
			if (silent >= RelayTimes.stallMillis(now, this.read)
					&& this.context.clock().millis() >= this.diagnoseAfter) {
				diagnose(place, silent);
			}
		});
	}

	// Finds out which runner a silent path waits for, then continues elsewhere.
	private void diagnose(Seat place, long silent) {
		if (place.path() == null) {
			this.context.trust().failed(place.first().id(), "silent for " + silent + " ms");
			breakOff("silent for " + silent + " ms");
			return;
		}
		this.diagnosing = true;
		this.context.reports().ask(place.first()).thenAccept((stall) -> this.loop.execute(() -> {
			this.diagnosing = false;
			stall.waitsFor().forEach((address) -> faulty(address.toString()).ifPresent((runner) -> {
				this.excluded.add(runner);
				this.blamed.add(runner);
				this.context.trust().failed(runner, "named in a report of a stalled path");
			}));
			if (!stall.answered()) {
				this.context.trust().failed(place.first().id(), "no report from a silent path");
			}
			else if (stall.waitsFor().isEmpty()) {
				this.diagnoseAfter = this.context.clock().millis() + DIAGNOSE_AGAIN_MILLIS;
				return;
			}
			boolean unchanged = !this.done && this.seat == place;
			if (unchanged && this.context.clock().millis() - this.progressAt >= silent) {
				breakOff("silent for " + silent + " ms");
			}
		}));
	}

	private void finish(int status, String reason) {
		if (this.done) {
			return;
		}
		this.done = true;
		ScheduledFuture<?> limit = this.timer;
		if (limit != null) {
			limit.cancel(false);
		}
		Seat place = this.seat;
		log(status, reason, place);
		releaseSeat();
		EventSplitter splitter = this.events;
		this.events = null;
		if (splitter != null) {
			splitter.release();
		}
		CompositeByteBuf buffered = this.body;
		this.body = null;
		if (buffered != null) {
			buffered.release();
		}
		this.context.ended(this);
	}

	private void log(int status, String reason, @Nullable Seat place) {
		Route now = this.route;
		Team owner = this.team;
		long ended = this.context.clock().millis();
		RouteTable table = this.context.table();
		if (now != null) {
			this.context.metrics().ended(now.kind(), status, ended - this.arrived);
		}
		LogEvent.of("request-ended")
			.with("request", this.request.attempt())
			.with("route", (now != null) ? now.name() : null)
			.with("team", (owner != null) ? owner.name() : null)
			.with("configuration", (table != null) ? table.version() : null)
			.with("status", status)
			.with("reason", reason)
			.with("sends", this.sends)
			.with("runners", (place != null) ? place.ids() : null)
			.with("wait", (this.seatedAt > 0) ? this.seatedAt - this.arrived : null)
			.with("line", this.lineLength)
			.with("retry-after", this.retryAfter)
			.with("fleet-age", this.context.board().ageMillis())
			.with("millis", ended - this.arrived)
			.with("last-event", this.lastEvent)
			.log(LOGGER, System.Logger.Level.INFO);
	}

	/** How the present response is treated. */
	private enum Mode {

		/** Nothing was asked for yet. */
		IDLE,

		/** Waits for a place. */
		WAITING,

		/** Sent, no response yet. */
		SENT,

		/** The runner stated that it did not run the request. */
		NOT_RUN,

		/** The runner failed and the request is repeated after the response. */
		FAILED,

		/** A stream of events is passed on event by event. */
		STREAM,

		/** A plain response is collected. */
		BUFFER,

		/** A long plain response is passed on. */
		PASS

	}

}
