package io.bilberryvalve.gateway.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.jspecify.annotations.Nullable;

/**
 * Splits a server-sent event stream into whole events, so that a stream that breaks in
 * the middle of an event can be continued after the last whole one.
 */
final class EventSplitter {

	/** A larger event is an error of the runner. */
	private static final int MAX_EVENT_BYTES = 1 << 20;

	private final ByteBuf buffer;

	private int scanIndex;

	EventSplitter(ByteBufAllocator allocator) {
		this.buffer = allocator.heapBuffer(512);
	}

	/**
	 * Adds bytes.
	 * @param content the bytes
	 * @return whether the stream is still usable
	 */
	boolean add(ByteBuf content) {
		this.buffer.writeBytes(content);
		return this.buffer.readableBytes() <= MAX_EVENT_BYTES;
	}

	/**
	 * Takes the next whole event.
	 * @return the event, or {@code null} if more bytes are needed
	 */
	@Nullable Event next() {
		int start = this.buffer.readerIndex();
		int end = this.buffer.writerIndex();
		for (int i = Math.max(start, this.scanIndex); i + 1 < end; i++) {
			if (this.buffer.getByte(i) == '\n' && endsEvent(i, end)) {
				int length = ((this.buffer.getByte(i + 1) == '\n') ? i + 2 : i + 3) - start;
				ByteBuf bytes = this.buffer.readBytes(length);
				if (!this.buffer.isReadable()) {
					this.buffer.clear();
				}
				this.scanIndex = this.buffer.readerIndex();
				return new Event(bytes, id(bytes));
			}
		}
		this.scanIndex = Math.max(start, end - 2);
		return null;
	}

	private boolean endsEvent(int at, int end) {
		byte next = this.buffer.getByte(at + 1);
		return next == '\n' || (next == '\r' && at + 2 < end && this.buffer.getByte(at + 2) == '\n');
	}

	private static @Nullable String id(ByteBuf event) {
		String text = event.toString(StandardCharsets.UTF_8);
		int at = text.startsWith("id:") ? 0 : text.indexOf("\nid:") + 1;
		if (at == 0 && !text.startsWith("id:")) {
			return null;
		}
		int line = text.indexOf('\n', at);
		return text.substring(at + 3, line).trim();
	}

	/**
	 * Tells whether a part of an event waits for its rest.
	 * @return whether bytes are left
	 */
	boolean hasPartialEvent() {
		return this.buffer.isReadable();
	}

	/**
	 * Drops a partial event.
	 */
	void reset() {
		this.buffer.clear();
		this.scanIndex = 0;
	}

	void release() {
		this.buffer.release();
	}

	/**
	 * A whole event.
	 *
	 * @param bytes its bytes with the empty line at its end
	 * @param id its identifier, or {@code null}
	 */
	record Event(ByteBuf bytes, @Nullable String id) {

	}

}
