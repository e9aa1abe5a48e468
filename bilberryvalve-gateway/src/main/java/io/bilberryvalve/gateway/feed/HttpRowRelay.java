package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.gateway.http.HttpClient;
import io.bilberryvalve.gateway.http.HttpResult;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import io.bilberryvalve.wire.proto.RowMessages.RowsRequest;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests for rows over HTTP to the address of the delegate for states.
 */
final class HttpRowRelay implements RowRelay {

	private static final int OK = 200;

	private final HttpClient httpClient;

	HttpRowRelay(HttpClient httpClient) {
		this.httpClient = httpClient;
	}

	@Override
	public CompletionStage<@Nullable RowsReply> ask(Address delegate, RowsRequest request, Duration timeout) {
		return this.httpClient
			.call(delegate, HttpMethod.POST, RowsEndpoint.PATH, request.toByteArray(), RowsEndpoint.CONTENT_TYPE,
					timeout)
			.thenApply(HttpRowRelay::decode);
	}

	private static @Nullable RowsReply decode(HttpResult result) {
		if (!(result instanceof HttpResult.Response response) || response.status() != OK) {
			return null;
		}
		try {
			return RowsReply.parseFrom(response.body());
		}
		catch (InvalidProtocolBufferException ex) {
			return null;
		}
	}

}
