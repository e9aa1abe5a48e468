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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * Relays the responses of all attempts of one request to its caller. A stream is relayed
 * event by event, so that another attempt can resume it; a plain response is buffered
 * first, so that the response of another attempt can replace an incomplete one. Used on
 * the event loop of the caller's connection only.
 */
final class ResponseRelay {

	/**
	 * Size in bytes above which a plain response is no longer buffered and is relayed as
	 * it arrives.
	 */
	private static final int MAX_BUFFERED_BYTES = 1 << 20;

	/** Largest number of bytes of a body that is dropped. */
	private static final long MAX_DROPPED_BYTES = 1 << 20;

	private final CallerExchange exchange;

	private final HeaderNames headerNames;

	private final Runnable onEvent;

	private @Nullable HttpResponse head;

	private @Nullable CompositeByteBuf body;

	private @Nullable EventSplitter events;

	private @Nullable String lastEvent;

	private Mode mode = Mode.NONE;

	private long droppedBytes;

	/**
	 * Creates a relay that has not received a response.
	 * @param exchange the caller's request, to which the response is written
	 * @param headerNames header names
	 * @param lastEvent identifier of the last event that the caller received in an
	 * earlier request, or {@code null}
	 * @param onEvent called before each event is relayed or dropped as a duplicate
	 */
	ResponseRelay(CallerExchange exchange, HeaderNames headerNames, @Nullable String lastEvent, Runnable onEvent) {
		this.exchange = exchange;
		this.headerNames = headerNames;
		this.lastEvent = lastEvent;
		this.onEvent = onEvent;
	}

	/**
	 * Discards the response of an earlier attempt before another one starts.
	 */
	void reset() {
		this.head = null;
		this.mode = Mode.NONE;
		this.droppedBytes = 0;
		releaseBody();
	}

	/**
	 * Receives the head of a response.
	 * @param response status and headers of the response
	 * @param mayRepeat whether another attempt is allowed if this one failed
	 * @return how the response is treated
	 */
	Verdict head(HttpResponse response, boolean mayRepeat) {
		this.head = response;
		HttpHeaders headers = response.headers();
		int status = response.status().code();
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		this.mode = Mode.DROP;
		if (headers.contains(this.headerNames.notRun()) || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			return Verdict.NOT_RUN;
		}
		boolean sealed = headers.contains(this.headerNames.responseSignature())
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
	 * @return whether to go on reading; {@code false} if an event or a body that is
	 * dropped exceeds the size limit
	 */
	boolean content(ByteBuf content) {
		CompositeByteBuf buffered = this.body;
		EventSplitter splitter = this.events;
		if (this.mode == Mode.STREAM && splitter != null) {
			return relayEvents(splitter, content);
		}
		if (this.mode == Mode.DROP) {
			this.droppedBytes += content.readableBytes();
			return this.droppedBytes <= MAX_DROPPED_BYTES;
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

	private boolean relayEvents(EventSplitter splitter, ByteBuf content) {
		if (!splitter.add(content)) {
			return false;
		}
		for (EventSplitter.Event event = splitter.next(); event != null; event = splitter.next()) {
			deliver(event);
		}
		return true;
	}

	private void deliver(EventSplitter.Event event) {
		this.onEvent.run();
		String id = event.id();
		if (id != null && alreadyDelivered(id)) {
			event.bytes().release();
			return;
		}
		this.lastEvent = (id != null) ? id : this.lastEvent;
		startResponse();
		this.exchange.write(event.bytes());
	}

	// A runner that resumes a stream may repeat events that the caller already
	// received.
	private boolean alreadyDelivered(String id) {
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
			HttpHeaders headers = Headers.endToEnd(response.headers());
			this.exchange.start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
		}
	}

	/**
	 * Flushes relayed data to the caller's connection.
	 */
	void flush() {
		if (this.mode == Mode.STREAM || this.mode == Mode.PASS) {
			this.exchange.flush();
		}
	}

	/**
	 * Completes the response after its last byte has arrived.
	 * @return whether the response was complete and was sent to the caller
	 */
	boolean end() {
		HttpResponse response = this.head;
		CompositeByteBuf buffered = this.body;
		EventSplitter splitter = this.events;
		if (this.mode == Mode.STREAM && splitter != null && (splitter.hasPartialEvent() || isEmptyAndUnframed())) {
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
		this.exchange.respond(response.status(), Headers.endToEnd(response.headers()), buffered);
		return true;
	}

	// A runner that ends before its first event closes the connection, as it does at the
	// end of a response without framing.
	private boolean isEmptyAndUnframed() {
		HttpResponse response = this.head;
		return this.lastEvent == null && !this.exchange.isStarted() && response != null
				&& !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
	}

	/**
	 * Tells whether a part of a plain response was sent to the caller, so that no other
	 * attempt can replace it.
	 * @return whether the connection must be closed if this attempt fails
	 */
	boolean committed() {
		return this.mode == Mode.PASS;
	}

	/**
	 * Returns the last event that the caller received, in this request or before it.
	 * @return identifier of the event, or {@code null} if there is none
	 */
	@Nullable String lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns the head of the current attempt's response.
	 * @return the head, or {@code null} before it arrived
	 */
	@Nullable HttpResponse head() {
		return this.head;
	}

	/**
	 * Releases all buffers.
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

	/** How the response of an attempt is treated, as its head decides. */
	enum Verdict {

		/** An answer of the runner, which is relayed to the caller. */
		ANSWER,

		/** The runner states that it did not run the request. */
		NOT_RUN,

		/** A server error that is dropped, because another attempt may succeed. */
		FAILURE,

		/**
		 * A success without the runner's signature or with a content encoding, or an
		 * error after a part of the stream was already sent.
		 */
		UNUSABLE

	}

	/** How the body of the current response is treated. */
	private enum Mode {

		/** No response head has arrived. */
		NONE,

		/** The body is received and discarded. */
		DROP,

		/** A stream is relayed event by event. */
		STREAM,

		/** A plain response is buffered until it is complete. */
		BUFFER,

		/** A plain response that is too long for the buffer is relayed as it arrives. */
		PASS

	}

}
