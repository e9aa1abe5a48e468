package io.bilberryvalve.daemon.http;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.DaemonLimits;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperatorId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.clock.ManualClock;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.PublisherSource.Processor;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

class RouterTests {

	private static final int MAX_BODY_BYTES = 100;

	private final Lifecycle lifecycle = new Lifecycle();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final Bodies bodies = new Bodies(MAX_BODY_BYTES, Duration.ofMillis(300));

	private final Processor<Buffer, Buffer> stream = Processors.newPublisherProcessor(16);

	private final HttpClient client = HttpClient.newHttpClient();

	private EntryServer server;

	@BeforeTry
	void start() throws Exception {
		List<Route> routes = List.of(Route.of(HttpRequestMethod.POST, "/v1/echo", Access.CALLER, true, this::echo),
				Route.of(HttpRequestMethod.GET, "/v1/stream", Access.PUBLIC, true, this::stream),
				Route.of(HttpRequestMethod.GET, "/v1/admin", Access.OPERATOR, false, this::broken));
		Credentials credentials = new Credentials(this.configuration, Map.of());
		Router router = new Router(routes, credentials, this.lifecycle, (route, status, elapsed) -> {
		}, new ManualClock());
		this.server = EntryServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), router,
				DaemonLimits.defaults());
		this.configuration.setIfNewer(configuration());
		this.lifecycle.advance(ServingState.READY);
	}

	@AfterTry
	void stop() throws Exception {
		this.server.close();
	}

	@Example
	void answersACallerWithAKey() throws Exception {
		HttpResponse<String> response = post("/v1/echo", "caller-key", "hello");
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(response.body()).isEqualTo("hello");
	}

	// Guards against a caller that takes a key for unknown while the entry is starting.
	@Example
	void reportsAStartingEntryAsUnavailable() throws Exception {
		Router starting = new Router(
				List.of(Route.of(HttpRequestMethod.POST, "/v1/echo", Access.CALLER, true, this::echo)),
				new Credentials(new ConfigurationHolder(), Map.of()), new Lifecycle(), (route, status, elapsed) -> {
				}, new ManualClock());
		this.server.close();
		this.server = EntryServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), starting,
				DaemonLimits.defaults());
		HttpResponse<String> response = post("/v1/echo", "caller-key", "hello");
		assertThat(response.statusCode()).isEqualTo(503);
		assertThat(response.body()).contains("not-run").contains("starting");
		assertThat(response.headers().firstValue("retry-after")).contains("1");
	}

	// Guards against a route that answers without checking the sender.
	@Example
	void refusesMissingUnknownAndWrongRole() throws Exception {
		assertThat(post("/v1/echo", "guess", "x").statusCode()).isEqualTo(401);
		assertThat(post("/v1/echo", "operator-key", "x").statusCode()).isEqualTo(403);
		assertThat(get("/v1/admin", "caller-key").statusCode()).isEqualTo(403);
		assertThat(get("/v1/admin", null).headers().firstValue("www-authenticate")).contains("Bearer");
	}

	@Example
	void namesTheMethodThatIsAllowed() throws Exception {
		HttpResponse<String> response = get("/v1/echo", "caller-key");
		assertThat(response.statusCode()).isEqualTo(405);
		assertThat(response.body()).contains("use POST").contains("not-run");
		assertThat(get("/v1/none", "caller-key").statusCode()).isEqualTo(404);
	}

	// Guards against unbounded memory for a body.
	@Example
	void refusesABodyOverTheLimit() throws Exception {
		HttpResponse<String> response = post("/v1/echo", "caller-key", "x".repeat(MAX_BODY_BYTES + 1));
		assertThat(response.statusCode()).isEqualTo(413);
		assertThat(response.body()).contains("not-run");
	}

	// Guards against a half-open client that holds a request for ever.
	@Example
	void refusesABodyThatStops() throws Exception {
		try (Socket socket = new Socket(this.server.address().getAddress(), this.server.address().getPort())) {
			OutputStream out = socket.getOutputStream();
			out.write(("POST /v1/echo HTTP/1.1\r\nhost: a\r\nauthorization: Bearer caller-key\r\n"
					+ "content-length: 50\r\n\r\nstart")
				.getBytes(StandardCharsets.US_ASCII));
			out.flush();
			socket.setSoTimeout(5000);
			InputStream in = socket.getInputStream();
			String head = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
			assertThat(head).isEqualTo("HTTP/1.1 400");
		}
	}

	// Guards against a drain that ends before the last byte of a reply.
	@Example
	void countsARequestUntilItsLastByte() throws Exception {
		var reply = this.client
			.sendAsync(HttpRequest.newBuilder(uri("/v1/stream")).build(), HttpResponse.BodyHandlers.ofInputStream())
			.get();
		assertThat(this.lifecycle.active()).isEqualTo(1);
		this.lifecycle.advance(ServingState.DRAINING);
		HttpResponse<String> refused = get("/v1/stream", null);
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.body()).contains("not-run").contains("draining");
		this.stream.onNext(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8("rest"));
		this.stream.onComplete();
		assertThat(new String(reply.body().readAllBytes(), StandardCharsets.UTF_8)).isEqualTo("rest");
		awaitIdle();
		assertThat(this.lifecycle.active()).isZero();
	}

	// Guards against an internal fault that is reported as not run.
	@Example
	void reportsAnInternalFaultAsUnknown() throws Exception {
		HttpResponse<String> response = get("/v1/admin", "operator-key");
		assertThat(response.statusCode()).isEqualTo(500);
		assertThat(response.body()).contains("\"outcome\":\"unknown\"");
	}

	// Guards against a log that several lines of a stack trace make unreadable by line.
	@Example
	void logsAnInternalFaultOnOneLine() throws Exception {
		List<LogRecord> records = new CopyOnWriteArrayList<>();
		Handler capture = new StreamHandler() {

			@Override
			public void publish(LogRecord entry) {
				records.add(entry);
			}

		};
		Logger logger = Logger.getLogger(Router.class.getName());
		logger.addHandler(capture);
		try {
			get("/v1/admin", "operator-key");
		}
		finally {
			logger.removeHandler(capture);
		}
		assertThat(records).singleElement().satisfies((entry) -> {
			assertThat(entry.getThrown()).isNull();
			assertThat(entry.getMessage()).contains("event=request-failed", "broken", "RouterTests.java:")
				.doesNotContain("\n");
		});
	}

	// Guards against a header that HTTP/2 forbids in the answer of a leaving entry.
	@Example
	void answersOverHttp2WhileLeaving() throws Exception {
		Router router = new Router(
				List.of(Route.of(HttpRequestMethod.POST, "/v1/echo", Access.CALLER, true, this::echo)),
				new Credentials(this.configuration, Map.of()), this.lifecycle, (route, status, elapsed) -> {
				}, new ManualClock());
		this.lifecycle.advance(ServingState.LEAVING);
		InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		try (EntryServer http2 = EntryServer.startHttp2(free, router, DaemonLimits.defaults());
				BlockingHttpClient caller = HttpClients.forResolvedAddress(http2.address())
					.protocols(HttpProtocolConfigs.h2Default())
					.buildBlocking()) {
			io.servicetalk.http.api.HttpRequest request = caller.post("/v1/echo");
			request.headers().set("authorization", "Bearer caller-key");
			request.payloadBody(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8("hello"));
			io.servicetalk.http.api.HttpResponse response = caller.request(request);
			assertThat(response.status().code()).isEqualTo(200);
			assertThat(response.version().major()).isEqualTo(2);
			assertThat(response.payloadBody().toString(StandardCharsets.UTF_8)).isEqualTo("hello");
		}
	}

	private void awaitIdle() {
		long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		while (this.lifecycle.active() > 0 && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
	}

	private Single<StreamingHttpResponse> echo(Exchange exchange) {
		return this.bodies.read(exchange).map((result) -> {
			if (result instanceof Result.Ok<byte[]> ok) {
				return exchange.responses()
					.ok()
					.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.wrap(ok.value())));
			}
			return Problems.response(exchange.responses(), ((Result.Failed<byte[]>) result).problem());
		});
	}

	private Single<StreamingHttpResponse> stream(Exchange exchange) {
		return Single.succeeded(exchange.responses().ok().payloadBody(SourceAdapters.fromSource(this.stream)));
	}

	private Single<StreamingHttpResponse> broken(Exchange exchange) {
		throw new IllegalStateException("broken");
	}

	private HttpResponse<String> post(String path, String key, String body) throws Exception {
		return this.client.send(HttpRequest.newBuilder(uri(path))
			.header("authorization", "Bearer " + key)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> get(String path, String key) throws Exception {
		HttpRequest.Builder request = HttpRequest.newBuilder(uri(path));
		if (key != null) {
			request.header("authorization", "Bearer " + key);
		}
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private URI uri(String path) {
		return URI.create("http://127.0.0.1:" + this.server.address().getPort() + path);
	}

	private static FederationConfiguration configuration() {
		ClubId club = new ClubId("pavio");
		TeamId team = new TeamId("shops");
		ClubPart part = new ClubPart(club, List.of(new ClubPart.Team(team, 1)),
				List.of(new ClubPart.Caller(new CallerId("desk"), team, Credentials.digest("caller-key"))),
				List.of(new ClubPart.Operator(new OperatorId("ana"), Credentials.digest("operator-key"))), List.of(),
				List.of());
		return new FederationConfiguration(1, FederationPart.empty(), Map.of(club, part));
	}

}
