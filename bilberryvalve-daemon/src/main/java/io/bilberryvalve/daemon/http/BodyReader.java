package io.bilberryvalve.daemon.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource.Processor;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;

/**
 * Reads request bodies with a size limit and a timeout. Safe for use by several threads.
 */
public final class BodyReader {

	/**
	 * Delay between the timeout and the cancellation of a body that was rejected.
	 * Cancelling the body closes the connection, so the response must be written before.
	 */
	private static final Duration CLOSE_DELAY = Duration.ofSeconds(1);

	private final int maxBytes;

	private final Duration timeout;

	/**
	 * Creates a reader.
	 * @param maxBytes largest body in bytes
	 * @param timeout time within which the whole body must arrive
	 */
	public BodyReader(int maxBytes, Duration timeout) {
		this.maxBytes = maxBytes;
		this.timeout = timeout;
	}

	/**
	 * Reads the body of a request.
	 * @param exchange the request, whose body has not been read
	 * @return the body; or a problem of kind {@code TOO_LARGE} if it exceeds the size
	 * limit, or {@code BAD_REQUEST} if it did not arrive completely within the timeout
	 */
	public Single<Result<byte[]>> read(Exchange exchange) {
		return Single.defer(() -> start(exchange));
	}

	private Single<Result<byte[]>> start(Exchange exchange) {
		Processor<Result<byte[]>, Result<byte[]>> result = Processors.newSingleProcessor();
		Executor timer = Executors.global();
		Cancellable timeoutTask = timer.schedule(() -> result.onSuccess(incomplete()), this.timeout);
		Collector collector = new Collector(this.maxBytes, () -> result.onSuccess(tooLarge()));
		Cancellable body = exchange.request()
			.payloadBody()
			.collect(() -> collector, Collector::append)
			.map((all) -> Result.ok(all.bytes.toByteArray()))
			.onErrorReturn((cause) -> incomplete())
			.beforeFinally(timeoutTask::cancel)
			.subscribe(result::onSuccess);
		Cancellable closeTask = timer.schedule(body::cancel, this.timeout.plus(CLOSE_DELAY));
		return SourceAdapters.fromSource(result).beforeOnSuccess((outcome) -> {
			if (outcome instanceof Result.Ok<byte[]>) {
				closeTask.cancel();
			}
		});
	}

	private Result<byte[]> tooLarge() {
		return Result.failed(Problem.notRun(ProblemKind.TOO_LARGE,
				"the request body exceeds " + this.maxBytes + " bytes", "send a smaller body"));
	}

	private Result<byte[]> incomplete() {
		return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST,
				"the request body did not arrive completely within " + this.timeout.toMillis() + " ms",
				"send the whole body without pauses"));
	}

	/**
	 * Collects a body. If it exceeds the size limit, discards what has been collected and
	 * all that follows.
	 */
	private static final class Collector {

		private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

		private final int maxBytes;

		private final Runnable onTooLarge;

		private boolean discarding;

		Collector(int maxBytes, Runnable onTooLarge) {
			this.maxBytes = maxBytes;
			this.onTooLarge = onTooLarge;
		}

		Collector append(Buffer buffer) {
			int size = buffer.readableBytes();
			if (!this.discarding && this.bytes.size() + size > this.maxBytes) {
				this.discarding = true;
				this.bytes.reset();
				this.onTooLarge.run();
			}
			byte[] chunk = new byte[size];
			buffer.readBytes(chunk);
			if (!this.discarding) {
				this.bytes.writeBytes(chunk);
			}
			return this;
		}

	}

}
