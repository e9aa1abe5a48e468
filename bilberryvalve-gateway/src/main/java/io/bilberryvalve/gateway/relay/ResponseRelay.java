package io.bilberryvalve.gateway.relay;

import io.bilberryvalve.gateway.http.CallerExchange;
import io.bilberryvalve.gateway.http.HeaderNames;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Passes responses of runners on to the caller of one request. A stream is passed on
 * event by event, so that another attempt can continue it; a plain response is collected
 * first, so that a broken one can be replaced.
 */
final class ResponseRelay {

	/** Longer plain responses are passed on while they arrive. */
	private static final int MAX_BUFFERED_BYTES = 1 << 20;

	private final CallerExchange exchange;

	private final HeaderNames dialect;

	private final Runnable onFirstEvent;

	private @Nullable HttpResponse head;

	private @Nullable CompositeByteBuf body;

	private @Nullable EventSplitter events;

	private @Nullable String lastEvent;

	private Mode mode = Mode.NONE;

	/**
	 * Creates a relay without response.
	 * @param exchange the caller
	 * @param dialect header names
	 * @param lastEvent last event that the caller has, or {@code null}
	 * @param onFirstEvent called before each attempt's first event is passed on
	 */
	ResponseRelay(CallerExchange exchange, HeaderNames dialect, @Nullable String lastEvent, Runnable onFirstEvent) {
		this.exchange = exchange;
		this.dialect = dialect;
		this.lastEvent = lastEvent;
		this.onFirstEvent = onFirstEvent;
	}

	/**
	 * Forgets the response of an earlier attempt.
	 */
	void reset() {
		this.head = null;
		this.mode = Mode.NONE;
		releaseBody();
	}

	/**
	 * Receives the head of a response.
	 * @param response status and headers
	 * @param mayRepeat whether a failure leads to another attempt
	 * @return what the response is
	 */
	Verdict head(HttpResponse response, boolean mayRepeat) {
		this.head = response;
		HttpHeaders headers = response.headers();
		int status = response.status().code();
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		this.mode = Mode.DROP;
		if (headers.contains(this.dialect.notRun()) || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			return Verdict.NOT_RUN;
		}
		boolean sealed = headers.contains(this.dialect.responseSignature())
				&& !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
		if (success ? !sealed : this.exchange.isStarted()) {
			return Verdict.UNUSABLE;
		}
		if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() && mayRepeat) {
			return Verdict.FAILURE;
		}
		if (success && headers.get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream")) {
			startStream();
		}
		else {
			this.mode = Mode.BUFFER;
			this.body = this.exchange.context().alloc().compositeBuffer();
		}
		return Verdict.ANSWER;
	}

	private void startStream() {
		this.mode = Mode.STREAM;
		EventSplitter splitter = this.events;
		if (splitter == null) {
			this.events = new EventSplitter(this.exchange.context().alloc());
		}
		else {
			splitter.reset();
		}
	}

	/**
	 * Receives a part of the body.
	 * @param content the bytes, valid during the call
	 * @return whether the response is still usable
	 */
	boolean content(ByteBuf content) {
		CompositeByteBuf buffered = this.body;
		EventSplitter splitter = this.events;
		if (this.mode == Mode.STREAM && splitter != null) {
			return stream(splitter, content);
		}
		if (this.mode == Mode.PASS) {
			this.exchange.write(content.retainedSlice());
		}
		else if (this.mode == Mode.BUFFER && buffered != null) {
			buffered.addComponent(true, content.retainedSlice());
			if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
				this.mode = Mode.PASS;
				this.body = null;
				startResponse();
				this.exchange.write(buffered);
			}
		}
		return true;
	}

	private boolean stream(EventSplitter splitter, ByteBuf content) {
		if (!splitter.add(content)) {
			return false;
		}
		for (EventSplitter.Event event = splitter.next(); event != null; event = splitter.next()) {
			deliver(event);
		}
		return true;
	}

	private void deliver(EventSplitter.Event event) {
		this.onFirstEvent.run();
		String id = event.id();
		if (id != null && isDelivered(id)) {
			event.bytes().release();
			return;
		}
		this.lastEvent = (id != null) ? id : this.lastEvent;
		startResponse();
		this.exchange.write(event.bytes());
	}

	// A runner that continues a stream may repeat events that the caller already has.
	private boolean isDelivered(String id) {
		String last = this.lastEvent;
		if (last == null || !this.exchange.isStarted()) {
			return false;
		}
		try {
			return Long.parseLong(id) <= Long.parseLong(last);
		}
		catch (NumberFormatException ex) {
			return id.equals(last);
		}
	}

	private void startResponse() {
		HttpResponse response = this.head;
		if (response != null && !this.exchange.isStarted()) {
			HttpHeaders headers = Headers.passing(response.headers());
			this.exchange.start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
		}
	}

	/**
	 * Hands what was received to the caller's connection.
	 */
	void flush() {
		if (this.mode == Mode.STREAM || this.mode == Mode.PASS) {
			this.exchange.flush();
		}
	}

	/**
	 * Ends the response.
	 * @return whether it was complete and the caller has it
	 */
	boolean end() {
		HttpResponse response = this.head;
		CompositeByteBuf buffered = this.body;
		EventSplitter splitter = this.events;
		if (this.mode == Mode.STREAM && splitter != null && splitter.partial()) {
			return false;
		}
		if (this.mode == Mode.STREAM || this.mode == Mode.PASS) {
			startResponse();
			this.exchange.end();
			return true;
		}
		if (this.mode != Mode.BUFFER || response == null || buffered == null) {
			return false;
		}
		this.body = null;
		this.exchange.respond(response.status(), Headers.passing(response.headers()), buffered);
		return true;
	}

	/**
	 * Tells whether the caller has a part of a plain response, so that no other attempt
	 * can replace it.
	 * @return whether the response can only be cut
	 */
	boolean unrepeatable() {
		return this.mode == Mode.PASS;
	}

	/**
	 * Returns the last event that the caller has.
	 * @return its identifier, or {@code null}
	 */
	@Nullable String lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns the head of the present response.
	 * @return the head, or {@code null} before it arrived
	 */
	@Nullable HttpResponse head() {
		return this.head;
	}

	/**
	 * Releases all memory.
	 */
	void release() {
		releaseBody();
		EventSplitter splitter = this.events;
		this.events = null;
		if (splitter != null) {
			splitter.release();
		}
	}

	private void releaseBody() {
		CompositeByteBuf buffered = this.body;
		this.body = null;
		if (buffered != null) {
			buffered.release();
		}
	}

	/** What a response is. */
	enum Verdict {

		/** The runner's answer, which is passed on. */
		ANSWER,

		/** The runner states that it did not run the request. */
		NOT_RUN,

		/** A failure that another attempt may mend. */
		FAILURE,

		/** Not an answer of the runner, or none that continues the stream. */
		UNUSABLE

	}

	/** How the present body is treated. */
	private enum Mode {

		/** There is no response. */
		NONE,

		/** The body is read and dropped. */
		DROP,

		/** A stream of events is passed on event by event. */
		STREAM,

		/** A plain response is collected. */
		BUFFER,

		/** A long plain response is passed on. */
		PASS

	}

}
