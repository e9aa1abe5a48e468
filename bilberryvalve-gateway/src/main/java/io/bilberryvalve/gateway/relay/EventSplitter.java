package io.bilberryvalve.gateway.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of a server-sent event stream into complete events, so that a stream
 * that breaks in the middle of an event can be resumed after the last complete one. Not
 * safe for use by several threads.
 */
final class EventSplitter {

	/** Largest event, 1 MiB. A larger one is treated as an error of the runner. */
	private static final int MAX_EVENT_BYTES = 1 << 20;

	private static final int INITIAL_BYTES = 512;

	/** Size from which the memory of a buffer is given back once it is empty. */
	private static final int LARGE_BYTES = 1 << 16;

	private final ByteBuf buffer;

	private int scanIndex;

	EventSplitter(ByteBufAllocator allocator) {
		this.buffer = allocator.heapBuffer(INITIAL_BYTES);
	}

	/**
	 * Appends received bytes.
	 * @param content the bytes, which are copied
	 * @return whether the stream is still usable; {@code false} if the buffered bytes
	 * exceed the largest event
	 */
	boolean add(ByteBuf content) {
		// Events that were handed on would otherwise be kept until the end of the stream.
		if (this.buffer.readerIndex() > 0) {
			this.scanIndex -= this.buffer.readerIndex();
			this.buffer.discardReadBytes();
			if (!this.buffer.isReadable() && this.buffer.capacity() > LARGE_BYTES) {
				this.buffer.capacity(INITIAL_BYTES);
			}
		}
		this.buffer.writeBytes(content);
		return this.buffer.readableBytes() <= MAX_EVENT_BYTES;
	}

	/**
	 * Removes the next complete event from the buffer.
	 * @return the event, whose bytes the caller must release, or {@code null} if more
	 * bytes are needed
	 */
	@Nullable Event next() {
		int start = this.buffer.readerIndex();
		int end = this.buffer.writerIndex();
		for (int i = Math.max(start, this.scanIndex); i + 1 < end; i++) {
			if (this.buffer.getByte(i) == '\n' && endsEvent(i, end)) {
				int length = ((this.buffer.getByte(i + 1) == '\n') ? i + 2 : i + 3) - start;
				ByteBuf bytes = this.buffer.readBytes(length);
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
	 * Tells whether the buffer holds the beginning of an event whose end has not arrived.
	 * @return whether bytes remain in the buffer
	 */
	boolean hasPartialEvent() {
		return this.buffer.isReadable();
	}

	/**
	 * Returns the memory that the buffer takes.
	 * @return number of bytes
	 */
	int heldBytes() {
		return this.buffer.capacity();
	}

	void release() {
		this.buffer.release();
	}

	/**
	 * One complete event.
	 *
	 * @param bytes its bytes, including the empty line that ends it
	 * @param id value of its {@code id} field, or {@code null} if it has none
	 */
	record Event(ByteBuf bytes, @Nullable String id) {

	}

}
