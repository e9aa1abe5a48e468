package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.bilberryvalve.gateway.http.HeaderNames;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * The response of one attempt. A stream is relayed to the caller event by event, so that
 * another attempt can resume it; a plain response is buffered first, so that the response
 * of another attempt can replace an incomplete one. Used on the event loop of the
 * caller's connection only.
 */
final class AttemptResponse {

	/**
	 * Size in bytes above which a plain response is no longer buffered and is relayed as
	 * it arrives.
	 */
	private static final int MAX_BUFFERED_BYTES = 1 << 20;

	/** Largest number of bytes of a body that is dropped. */
	private static final long MAX_DROPPED_BYTES = 1 << 20;

	/**
	 * Statuses after which a caller repeats any request, so that they are not passed on
	 * unless the runner states that it did not run the request.
	 */
	private static final Set<Integer> REFUSALS = Set.of(HttpResponseStatus.REQUEST_TIMEOUT.code(),
			HttpResponseStatus.TOO_MANY_REQUESTS.code(), HttpResponseStatus.SERVICE_UNAVAILABLE.code());

	private final CallerResponse caller;

	private final HeaderNames headerNames;

	private final ResponseMemory memory;

	private final Listener listener;

	private final RepeatedEvents repeatedEvents = new RepeatedEvents();

	private @Nullable HttpResponse head;

	private @Nullable ByteBuf body;

	private @Nullable EventSplitter splitter;

	private Mode mode = Mode.NONE;

	private boolean eventReceived;

	private boolean committed;

	/** Whether this response continues a stream that another attempt has begun. */
	private boolean continuation;

	private boolean eventSent;

	private long droppedBytes;

	private long heldBytes;

	private boolean progressing;

	private @Nullable ResponseDefect defect;

	/**
	 * Creates a response of which nothing has arrived.
	 * @param caller response to the caller, to which this one contributes
	 * @param headerNames header names
	 * @param memory limits the memory for the parts that are held
	 * @param listener notified of the progress of this response
	 */
	AttemptResponse(CallerResponse caller, HeaderNames headerNames, ResponseMemory memory, Listener listener) {
		this.caller = caller;
		this.headerNames = headerNames;
		this.memory = memory;
		this.listener = listener;
	}

	/**
	 * Receives the head of the response.
	 * @param response status and headers of the response
	 * @param replaceable whether the response of another attempt may replace this one if
	 * it is an error
	 * @return how the response is treated
	 */
	Verdict head(HttpResponse response, boolean replaceable) {
		this.head = response;
		HttpHeaders headers = response.headers();
		int status = response.status().code();
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		this.mode = Mode.DROP;
		if (headers.contains(this.headerNames.notRun()) || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			return success ? Verdict.UNUSABLE : Verdict.NOT_RUN;
		}
		if (REFUSALS.contains(status)) {
			return Verdict.UNUSABLE;
		}
		boolean sealed = headers.contains(this.headerNames.responseSignature())
				&& !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
		boolean stream = success && headers.get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream");
		boolean continues = stream && this.caller.canContinueWith(response.status());
		if (success ? !sealed : this.caller.isStarted()) {
			return Verdict.UNUSABLE;
		}
		if (this.caller.isStarted() && !continues) {
			return Verdict.UNUSABLE;
		}
		if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() && replaceable) {
			return Verdict.FAILURE;
		}
		if (stream) {
			this.mode = Mode.STREAM;
			this.continuation = this.caller.isStarted();
			this.splitter = new EventSplitter(this.caller.allocator());
		}
		else {
			this.mode = Mode.BUFFER;
			this.body = this.caller.allocator().buffer();
		}
		return Verdict.ANSWER;
	}

	/**
	 * Receives a part of the body.
	 * @param content the bytes, valid during the call
	 * @return whether to go on reading; otherwise {@link #defect()} tells why not
	 */
	boolean content(ByteBuf content) {
		HttpResponse response = this.head;
		ByteBuf buffered = this.body;
		EventSplitter events = this.splitter;
		this.progressing = this.mode != Mode.DROP && this.mode != Mode.NONE;
		if (this.mode == Mode.STREAM && response != null && events != null) {
			this.progressing = false;
			return relayEvents(response, events, content);
		}
		if (this.mode == Mode.DROP) {
			return drop(content.readableBytes());
		}
		if (this.mode == Mode.PASS && response != null) {
			this.caller.sendPart(response, content.retainedSlice());
		}
		else if (this.mode == Mode.BUFFER && response != null && buffered != null) {
			buffered.writeBytes(content);
			boolean held = hold(buffered.capacity());
			if (!held || buffered.readableBytes() > MAX_BUFFERED_BYTES) {
				this.mode = Mode.PASS;
				this.committed = true;
				this.body = null;
				hold(0);
				this.listener.selected();
				this.caller.sendPart(response, buffered);
			}
		}
		return true;
	}

	private boolean drop(int bytes) {
		this.droppedBytes += bytes;
		return this.droppedBytes <= MAX_DROPPED_BYTES || fail(ResponseDefect.TOO_LONG);
	}

	private boolean hold(long bytes) {
		boolean permitted = this.memory.resize(this.heldBytes, bytes);
		this.heldBytes = bytes;
		return permitted;
	}

	private boolean fail(ResponseDefect reason) {
		this.defect = reason;
		return false;
	}

	private boolean relayEvents(HttpResponse response, EventSplitter events, ByteBuf content) {
		if (!events.add(content)) {
			return fail(ResponseDefect.TOO_LONG);
		}
		if (!hold(events.heldBytes())) {
			return fail(ResponseDefect.MEMORY);
		}
		for (EventSplitter.Event event = events.next(); event != null; event = events.next()) {
			boolean repeated = this.caller.hasReceived(event);
			if (!repeated && !continuesStream(event)) {
				event.bytes().release();
				return fail(ResponseDefect.GAP);
			}
			this.eventReceived = true;
			this.listener.eventReceived();
			if (!repeated) {
				this.progressing = true;
				this.repeatedEvents.recordNew();
				this.eventSent = true;
				this.listener.selected();
				this.caller.sendEvent(response, event);
			}
			else if (!dropRepeated(event)) {
				return fail(ResponseDefect.REPEATS);
			}
		}
		this.progressing |= !this.repeatedEvents.isRepeating() && events.hasPartialEvent();
		return true;
	}

	private boolean dropRepeated(EventSplitter.Event event) {
		int bytes = event.bytes().readableBytes();
		event.bytes().release();
		return this.repeatedEvents.recordRepeated(event.id()) && drop(bytes);
	}

	// Bytes without an identifier may be anything. A runner that repeats events must
	// repeat the last one that the caller received, or its events have other boundaries.
	private boolean continuesStream(EventSplitter.Event event) {
		if (!this.continuation) {
			return true;
		}
		String repeated = this.repeatedEvents.last();
		boolean seamless = this.eventSent || repeated == null || repeated.equals(this.caller.lastEvent());
		return event.id() != null && seamless;
	}

	/**
	 * Flushes relayed data to the caller's connection.
	 */
	void flush() {
		if (this.mode == Mode.STREAM || this.mode == Mode.PASS) {
			this.caller.flush();
		}
	}

	/**
	 * Completes the response after its last byte has arrived.
	 * @return whether the response was complete and was sent to the caller
	 */
	boolean end() {
		HttpResponse response = this.head;
		ByteBuf buffered = this.body;
		if (response == null || this.mode == Mode.NONE || this.mode == Mode.DROP) {
			return false;
		}
		if (this.mode == Mode.STREAM && (hasPartialEvent() || isEmptyAndUnframed(response))) {
			return false;
		}
		this.listener.selected();
		if (this.mode == Mode.BUFFER && buffered != null) {
			this.body = null;
			this.caller.sendWhole(response, buffered);
		}
		else {
			this.caller.end(response);
		}
		return true;
	}

	private boolean hasPartialEvent() {
		EventSplitter events = this.splitter;
		return events != null && events.hasPartialEvent();
	}

	// A runner that ends before its first event closes the connection, as it does at the
	// end of a response without framing.
	private boolean isEmptyAndUnframed(HttpResponse response) {
		return !this.eventReceived && !HttpUtil.isContentLengthSet(response)
				&& !HttpUtil.isTransferEncodingChunked(response);
	}

	/**
	 * Tells whether the last part of the body was of use: bytes that were dropped, and
	 * events that the caller already had, are no progress.
	 * @return whether the response has got further
	 */
	boolean isProgressing() {
		return this.progressing;
	}

	/**
	 * Returns why {@link #content} returned {@code false}.
	 * @return the reason, or {@code null} if the response is usable so far
	 */
	@Nullable ResponseDefect defect() {
		return this.defect;
	}

	/**
	 * Tells whether a part of a plain response was sent to the caller, so that no other
	 * attempt can replace it.
	 * @return whether the connection must be closed if this attempt fails
	 */
	boolean committed() {
		return this.committed;
	}

	/**
	 * Returns the head of the response.
	 * @return the head, or {@code null} before it arrived
	 */
	@Nullable HttpResponse head() {
		return this.head;
	}

	/**
	 * Returns the status of the response.
	 * @return the status code, or 0 before the head arrived
	 */
	int status() {
		HttpResponse response = this.head;
		return (response != null) ? response.status().code() : 0;
	}

	/**
	 * Flushes relayed data and releases all buffers.
	 */
	void release() {
		flush();
		ByteBuf buffered = this.body;
		EventSplitter events = this.splitter;
		hold(0);
		this.body = null;
		this.splitter = null;
		this.mode = Mode.DROP;
		if (buffered != null) {
			buffered.release();
		}
		if (events != null) {
			events.release();
		}
	}

	/** Receives the progress of a response. */
	interface Listener {

		/** An event has arrived, which may be one that the caller already received. */
		void eventReceived();

		/**
		 * A part of this response is about to be sent to the caller, so that no other
		 * attempt in progress may contribute any more.
		 */
		void selected();

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
		 * A success without the runner's signature, with a content encoding or with the
		 * statement that the request was not run, a refusal without that statement, or a
		 * response that cannot continue the stream of which a part was already sent.
		 */
		UNUSABLE

	}

	/** How the body of the response is treated. */
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
