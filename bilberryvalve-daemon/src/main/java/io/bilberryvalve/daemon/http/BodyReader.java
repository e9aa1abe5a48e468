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
 * Reads request bodies within bounds of size and time.
 */
public final class BodyReader {

	/**
	 * Time between the answer to a body that broke a bound and the end of its connection.
	 * Cancelling a body closes the connection, so the answer must be written before.
	 */
	private static final Duration LINGER = Duration.ofSeconds(1);

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
	 * @param exchange the request
	 * @return the body; or a problem with kind {@code TOO_LARGE}, or {@code BAD_REQUEST}
	 * if the body did not arrive in time
	 */
	public Single<Result<byte[]>> read(Exchange exchange) {
		return Single.defer(() -> start(exchange));
	}

	private Single<Result<byte[]>> start(Exchange exchange) {
		Processor<Result<byte[]>, Result<byte[]>> result = Processors.newSingleProcessor();
		Executor timer = Executors.global();
		Cancellable expiry = timer.schedule(() -> result.onSuccess(late()), this.timeout);
		Collector collector = new Collector(this.maxBytes, () -> result.onSuccess(tooLarge()));
		Cancellable body = exchange.request()
			.payloadBody()
			.collect(() -> collector, Collector::append)
			.map((all) -> Result.ok(all.bytes.toByteArray()))
			.onErrorReturn((cause) -> late())
			.beforeFinally(expiry::cancel)
			.subscribe(result::onSuccess);
		Cancellable end = timer.schedule(body::cancel, this.timeout.plus(LINGER));
		return SourceAdapters.fromSource(result).beforeOnSuccess((outcome) -> {
			if (outcome instanceof Result.Ok<byte[]>) {
				end.cancel();
			}
		});
	}

	private Result<byte[]> tooLarge() {
		return Result.failed(Problem.notRun(ProblemKind.TOO_LARGE,
				"the request body exceeds " + this.maxBytes + " bytes", "send a smaller body"));
	}

	private Result<byte[]> late() {
		return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST,
				"the request body did not arrive completely within " + this.timeout.toMillis() + " ms",
				"send the whole body without pauses"));
	}

	/**
	 * Collects a body and discards what exceeds its bound.
	 */
	private static final class Collector {

		private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

		private final int maxBytes;

		private final Runnable exceeded;

		private boolean discarding;

		Collector(int maxBytes, Runnable exceeded) {
			this.maxBytes = maxBytes;
			this.exceeded = exceeded;
		}

		Collector append(Buffer buffer) {
			int size = buffer.readableBytes();
			if (!this.discarding && this.bytes.size() + size > this.maxBytes) {
				this.discarding = true;
				this.bytes.reset();
				this.exceeded.run();
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
