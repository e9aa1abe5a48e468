package io.bilberryvalve.daemon.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;

/**
 * Reads request bodies within bounds of size and time.
 */
public final class Bodies {

	private final int maxBytes;

	private final Duration timeout;

	/**
	 * Creates a reader.
	 * @param maxBytes largest body in bytes
	 * @param timeout time within which the whole body must arrive
	 */
	public Bodies(int maxBytes, Duration timeout) {
		this.maxBytes = maxBytes;
		this.timeout = timeout;
	}

	/**
	 * Reads the body of a request.
	 * @param exchange the request
	 * @return the body; or a problem with kind {@code TOO_LARGE}, or {@code BAD_REQUEST}
	 * if the body did not arrive in time
	 */
	public Single<Result<byte[]>> read(Exchange exchange) {
		Publisher<Buffer> bounded = exchange.request().payloadBody().map(new Limit(this.maxBytes)::count);
		return bounded.collect(ByteArrayOutputStream::new, Bodies::append)
			.map((bytes) -> Result.ok(bytes.toByteArray()))
			.timeout(this.timeout)
			.onErrorReturn(this::problem);
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream bytes, Buffer buffer) {
		byte[] chunk = new byte[buffer.readableBytes()];
		buffer.readBytes(chunk);
		bytes.writeBytes(chunk);
		return bytes;
	}

	private Result<byte[]> problem(Throwable cause) {
		if (cause instanceof TooLargeException) {
			return Result.failed(Problem.notRun(ProblemKind.TOO_LARGE,
					"the request body exceeds " + this.maxBytes + " bytes", "send a smaller body"));
		}
		return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST,
				"the request body did not arrive completely within " + this.timeout.toMillis() + " ms",
				"send the whole body without pauses"));
	}

	/**
	 * Counts the bytes of one body.
	 */
	private static final class Limit {

		private final int maxBytes;

		private long total;

		Limit(int maxBytes) {
			this.maxBytes = maxBytes;
		}

		Buffer count(Buffer buffer) {
			this.total += buffer.readableBytes();
			if (this.total > this.maxBytes) {
				throw new TooLargeException();
			}
			return buffer;
		}

	}

	/**
	 * Signals that a body exceeds its bound.
	 */
	private static final class TooLargeException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		TooLargeException() {
			super("body too large", null, false, false);
		}

	}

}
