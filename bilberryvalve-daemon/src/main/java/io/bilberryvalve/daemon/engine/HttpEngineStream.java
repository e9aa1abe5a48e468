package io.bilberryvalve.daemon.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.policy.outcome.TokenEvent;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import org.jspecify.annotations.Nullable;

/**
 * Parses the response body of one stream and passes its events to a listener. Events
 * after the end or a failure of the stream are ignored. A stream that goes on without new
 * tokens, or after its last one, is closed.
 */
final class HttpEngineStream implements EngineStream, PublisherSource.Subscriber<Buffer>, EventStreamParser.Handler {

	private static final String DONE = "[DONE]";

	/**
	 * Largest number of bytes without a new token, such as keep-alives and tokens that
	 * were sent before.
	 */
	private static final long MAX_UNUSED_BYTES = 1 << 20;

	private final RequestId stream;

	private final EngineListener listener;

	private final EventStreamParser parser = new EventStreamParser(this);

	private volatile PublisherSource.@Nullable Subscription subscription;

	private boolean finished;

	private long unusedBytes;

	private int lastIndex = -1;

	private boolean lastTokenSeen;

	HttpEngineStream(RequestId stream, EngineListener listener) {
		this.stream = stream;
		this.listener = listener;
	}

	@Override
	public void read() {
		PublisherSource.Subscription source = this.subscription;
		if (source != null) {
			source.request(1);
		}
	}

	@Override
	public void close() {
		PublisherSource.Subscription source = this.subscription;
		if (source != null) {
			source.cancel();
		}
	}

	@Override
	public void onSubscribe(PublisherSource.Subscription source) {
		this.subscription = source;
	}

	@Override
	public void onNext(@Nullable Buffer buffer) {
		if (this.finished) {
			close();
			return;
		}
		if (buffer == null) {
			return;
		}
		byte[] bytes = new byte[buffer.readableBytes()];
		buffer.readBytes(bytes);
		this.unusedBytes += bytes.length;
		try {
			this.parser.feed(bytes);
		}
		catch (IllegalArgumentException ex) {
			fail(new EngineFailure(Kind.MALFORMED, null, String.valueOf(ex.getMessage())));
			close();
		}
		if (this.unusedBytes > MAX_UNUSED_BYTES) {
			fail(new EngineFailure(Kind.MALFORMED, null, "no new token within " + MAX_UNUSED_BYTES + " bytes"));
			close();
		}
		if (!this.finished) {
			this.listener.onReadComplete();
		}
	}

	@Override
	public void onError(Throwable error) {
		fail(failure(error));
	}

	@Override
	public void onComplete() {
		fail(new EngineFailure(Kind.CLOSED, null, "the engine closed the stream before its end"));
	}

	@Override
	public void onEvent(String name, String data) {
		if (this.finished) {
			return;
		}
		if (data.equals(DONE)) {
			this.finished = true;
			this.listener.onEnded();
			read();
			return;
		}
		JsonNode node = EngineJson.parse(data);
		if (name.equals("problem")) {
			fail(new EngineFailure(Kind.STAGE, EngineJson.parseRunner(node),
					node.path("detail").asText("stage failed")));
		}
		else if (node.path("stream").asText().equals(this.stream.toString())) {
			TokenEvent token = EngineJson.parseToken(node);
			recordToken(token);
			this.listener.onToken(token);
		}
	}

	private void recordToken(TokenEvent token) {
		if (token.index() > this.lastIndex && !this.lastTokenSeen) {
			this.lastIndex = token.index();
			this.lastTokenSeen = token.last();
			this.unusedBytes = 0;
		}
	}

	@Override
	public void onComment() {
		if (!this.finished) {
			this.listener.onKeepAlive();
		}
	}

	private void fail(EngineFailure failure) {
		if (!this.finished) {
			this.finished = true;
			this.listener.onFailed(failure);
		}
	}

	private static EngineFailure failure(Throwable error) {
		if (error instanceof EngineException engine) {
			return engine.failure();
		}
		return new EngineFailure(Kind.CLOSED, null, "connection failed: " + error);
	}

}
