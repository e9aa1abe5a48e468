package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.gateway.http.CallerExchange;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import io.bilberryvalve.wire.proto.RowMessages.RowsRequest;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * HTTP endpoint at which other daemons ask for rows of the store. The bodies are messages
 * of {@code rows.proto}. A request may wait for a change.
 */
final class RowsEndpoint implements Consumer<CallerExchange> {

	static final String PATH = "/rows";

	static final String CONTENT_TYPE = "application/x-protobuf";

	/** Longest wait for a change, which limits the polls that a daemon keeps open. */
	private static final Duration MAX_WAIT = Duration.ofSeconds(5);

	private final Map<String, RowMirror> mirrors;

	/**
	 * Creates an endpoint.
	 * @param mirrors mirrors of the tables, by name
	 */
	RowsEndpoint(Map<String, RowMirror> mirrors) {
		this.mirrors = Map.copyOf(mirrors);
	}

	@Override
	public void accept(CallerExchange exchange) {
		if (!exchange.request().uri().equals(PATH)) {
			exchange.respond(HttpResponseStatus.NOT_FOUND, new DefaultHttpHeaders(), "unknown path\n");
			return;
		}
		RowsRequest request;
		try {
			request = RowsRequest.parseFrom(ByteBufUtil.getBytes(exchange.request().content()));
		}
		catch (InvalidProtocolBufferException ex) {
			refuse(exchange);
			return;
		}
		RowMirror mirror = this.mirrors.get(request.getTable());
		if (mirror == null || request.getStoreEra() < 0 || request.getVersion() < 0) {
			refuse(exchange);
			return;
		}
		StoreVersion after = new StoreVersion(request.getStoreEra(), request.getVersion());
		Duration wait = Duration.ofMillis(Math.max(0, Math.min(MAX_WAIT.toMillis(), request.getWait())));
		CompletableFuture<RowMirror.Answer> poll = mirror.poll(after, wait);
		exchange.onDisconnect(() -> poll.cancel(false));
		poll.thenAccept((answer) -> exchange.context()
			.executor()
			.execute(() -> respond(exchange, RowMessagesCodec.encode(answer))));
	}

	private static void refuse(CallerExchange exchange) {
		exchange.respond(HttpResponseStatus.BAD_REQUEST, new DefaultHttpHeaders(),
				"the body must be a RowsRequest for a known table\n");
	}

	private static void respond(CallerExchange exchange, RowsReply reply) {
		HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE);
		exchange.respond(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(reply.toByteArray()));
	}

}
