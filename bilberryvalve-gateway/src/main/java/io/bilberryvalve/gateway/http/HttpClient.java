package io.bilberryvalve.gateway.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client for short calls, which keeps the whole response in memory. Safe for use by
 * several threads.
 */
public final class HttpClient {

	private static final int DEFAULT_MAX_BODY_BYTES = 16 << 20;

	private final UpstreamPool pool;

	private final int maxBodyBytes;

	/**
	 * Creates a client for responses of at most 16 MiB.
	 * @param pool connections of the client; calls run on its event loop
	 */
	public HttpClient(UpstreamPool pool) {
		this(pool, DEFAULT_MAX_BODY_BYTES);
	}

	/**
	 * Creates a client.
	 * @param pool connections of the client; calls run on its event loop
	 * @param maxBodyBytes largest body of a response; a call with a larger one fails
	 */
	public HttpClient(UpstreamPool pool, int maxBodyBytes) {
		this.pool = pool;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Sends a request and collects its response.
	 * @param address address of the server
	 * @param method method of the request
	 * @param target the request target
	 * @param body the body, empty for none
	 * @param contentType media type of the body, or {@code null} without body
	 * @param timeout longest time until the complete response
	 * @return the response or the failure; the future never completes exceptionally
	 */
	public CompletableFuture<HttpResult> call(Address address, HttpMethod method, String target, byte[] body,
			@Nullable String contentType, Duration timeout) {
		return call(address, method, target, body, contentType, timeout, false);
	}

	/**
	 * Sends a request on a connection that carries no other one and collects its
	 * response, so that no response to another request can be taken for it.
	 * @param address address of the server
	 * @param method method of the request
	 * @param target the request target
	 * @param body the body, empty for none
	 * @param contentType media type of the body, or {@code null} without body
	 * @param timeout longest time until the complete response
	 * @return the response or the failure; the future never completes exceptionally
	 */
	public CompletableFuture<HttpResult> callOnNewConnection(Address address, HttpMethod method, String target,
			byte[] body, @Nullable String contentType, Duration timeout) {
		return call(address, method, target, body, contentType, timeout, true);
	}

	private CompletableFuture<HttpResult> call(Address address, HttpMethod method, String target, byte[] body,
			@Nullable String contentType, Duration timeout, boolean onNewConnection) {
		HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, address.toString());
		if (contentType != null) {
			headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
		}
		if (body.length > 0 || method != HttpMethod.GET) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		ResponseCollector collector = new ResponseCollector(this.maxBodyBytes);
		UpstreamCall call = new UpstreamCall(method, target, headers, Unpooled.wrappedBuffer(body), onNewConnection,
				null, collector);
		this.pool.loop().execute(() -> {
			ScheduledFuture<?> timer = this.pool.loop().schedule(() -> {
				call.cancel();
				collector.onFailure(true, "no answer within " + timeout.toMillis() + " ms");
			}, timeout.toMillis(), TimeUnit.MILLISECONDS);
			collector.result.whenComplete((reply, failure) -> {
				timer.cancel(false);
				call.cancel();
			});
			this.pool.send(address, call);
		});
		return collector.result;
	}

	private static final class ResponseCollector implements UpstreamListener {

		private final CompletableFuture<HttpResult> result = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final int maxBodyBytes;

		private @Nullable HttpResponse head;

		ResponseCollector(int maxBodyBytes) {
			this.maxBodyBytes = maxBodyBytes;
		}

		@Override
		public void onHead(HttpResponse response) {
			this.head = response;
		}

		@Override
		public void onContent(ByteBuf content) {
			if (this.body.size() + content.readableBytes() <= this.maxBodyBytes) {
				byte[] bytes = new byte[content.readableBytes()];
				content.readBytes(bytes);
				this.body.writeBytes(bytes);
			}
			else {
				onFailure(true, "response exceeds " + this.maxBodyBytes + " bytes");
			}
		}

		@Override
		public void onEnd() {
			HttpResponse response = this.head;
			if (response != null) {
				this.result.complete(
						new HttpResult.Response(response.status().code(), response.headers(), this.body.toByteArray()));
			}
			else {
				onFailure(true, "response without head");
			}
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			this.result.complete(new HttpResult.Failed(sent, reason));
		}

	}

}
