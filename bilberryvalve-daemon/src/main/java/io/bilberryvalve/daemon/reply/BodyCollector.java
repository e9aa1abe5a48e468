package io.bilberryvalve.daemon.reply;

import java.io.ByteArrayOutputStream;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.servicetalk.buffer.api.Buffer;

/**
 * Collects the body of a request up to a limit. What exceeds the limit is read and
 * discarded, so that the connection can carry the response.
 */
final class BodyCollector {

	/** Largest body in bytes. */
	static final int LIMIT = 1 << 20;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private boolean tooLarge;

	BodyCollector add(Buffer buffer) {
		int size = buffer.readableBytes();
		if (this.tooLarge || this.bytes.size() + size > LIMIT) {
			this.tooLarge = true;
			this.bytes.reset();
			return this;
		}
		byte[] part = new byte[size];
		buffer.readBytes(part);
		this.bytes.writeBytes(part);
		return this;
	}

	Result<byte[]> body() {
		if (this.tooLarge) {
			return Result.failed(Problem.notRun(ProblemKind.TOO_LARGE, "the body exceeds " + LIMIT + " bytes",
					"send a shorter prompt"));
		}
		return Result.ok(this.bytes.toByteArray());
	}

}
