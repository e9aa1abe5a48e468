package io.bilberryvalve.gateway.relay;

import io.bilberryvalve.gateway.http.CallerExchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * The response to one caller, to which the attempts of its request contribute one after
 * the other. Used on the event loop of the caller's connection only.
 */
final class CallerResponse {

	private final CallerExchange exchange;

	private @Nullable HttpResponseStatus status;

	private @Nullable String lastEvent;

	private boolean lastEventIdentified;

	/**
	 * Creates a response that has not been started.
	 * @param exchange the caller's request, to which the response is written
	 * @param lastEvent identifier of the last event that the caller received in an
	 * earlier request, or {@code null}
	 */
	CallerResponse(CallerExchange exchange, @Nullable String lastEvent) {
		this.exchange = exchange;
		this.lastEvent = lastEvent;
	}

	/**
	 * Returns the allocator for buffers of the response.
	 * @return the allocator of the caller's connection
	 */
	ByteBufAllocator allocator() {
		return this.exchange.context().alloc();
	}

	/**
	 * Returns whether a part of the response was sent to the caller.
	 * @return {@code true} once its head was sent
	 */
	boolean isStarted() {
		return this.exchange.isStarted();
	}

	/**
	 * Returns the last event that the caller received, in this request or before it.
	 * @return identifier of the event, or {@code null} if there is none
	 */
	@Nullable String lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns whether another attempt can continue the response.
	 * @return {@code true} if nothing was sent yet, or the last event that was sent has
	 * an identifier
	 */
	boolean canBeContinued() {
		return !isStarted() || this.lastEventIdentified;
	}

	/**
	 * Returns whether a stream with the given status can continue the response.
	 * @param next status of the stream
	 * @return {@code true} if nothing was sent yet, or a stream with the same status
	 * whose last event has an identifier
	 */
	boolean canContinueWith(HttpResponseStatus next) {
		return canBeContinued() && (!isStarted() || next.equals(this.status));
	}

	/**
	 * Returns whether the caller already received an event. A runner that resumes a
	 * stream may repeat events.
	 * @param event the event
	 * @return whether to drop it
	 */
	boolean hasReceived(EventSplitter.Event event) {
		String id = event.id();
		String last = this.lastEvent;
		if (id == null || last == null || !isStarted()) {
			return false;
		}
		try {
			return Long.parseLong(id) <= Long.parseLong(last);
		}
		catch (NumberFormatException ex) {
			return id.equals(last);
		}
	}

	/**
	 * Sends an event.
	 * @param head head of the response that contains the event; it is sent to the caller
	 * unless that of an earlier attempt was
	 * @param event the event; the ownership of its bytes passes to this response
	 */
	void sendEvent(HttpResponse head, EventSplitter.Event event) {
		this.lastEventIdentified = event.id() != null;
		this.lastEvent = this.lastEventIdentified ? event.id() : this.lastEvent;
		sendPart(head, event.bytes());
	}

	/**
	 * Sends a part of the body.
	 * @param head head of the response, which is sent first if nothing was sent yet
	 * @param part the bytes; their ownership passes to this response
	 */
	void sendPart(HttpResponse head, ByteBuf part) {
		start(head);
		this.exchange.write(part);
	}

	/**
	 * Sends a complete response. Nothing may have been sent yet.
	 * @param head status and headers
	 * @param body the body; its ownership passes to this response
	 */
	void sendWhole(HttpResponse head, ByteBuf body) {
		this.exchange.respond(head.status(), Headers.endToEnd(head.headers()), body);
	}

	/**
	 * Ends a response that was sent in parts.
	 * @param head head of the response, which is sent first if nothing was sent yet
	 */
	void end(HttpResponse head) {
		start(head);
		this.exchange.end();
	}

	private void start(HttpResponse head) {
		if (!isStarted()) {
			HttpHeaders headers = Headers.endToEnd(head.headers());
			this.status = head.status();
			this.exchange.start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers));
		}
	}

	/**
	 * Flushes the parts that have been sent.
	 */
	void flush() {
		this.exchange.flush();
	}

}
