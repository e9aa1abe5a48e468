package io.bilberryvalve.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import io.bilberryvalve.config.DaemonLimits;
import io.bilberryvalve.config.DaemonSettings;
import io.bilberryvalve.config.SettingsFile;
import io.bilberryvalve.daemon.http.Credentials;
import io.bilberryvalve.daemon.http.EntryServer;
import io.bilberryvalve.daemon.reply.ReplySettings;
import io.servicetalk.concurrent.api.Single;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonTests {

	private static final String LIMITS = """
			{"bodyBytes": 100, "submissionBytes": 2000, "requestTimeoutMillis": 7000,
			 "progressDeadlineMillis": 600, "replyRetentionMillis": 9000}
			""";

	private final HttpClient client = HttpClient.newHttpClient();

	// Guards against settings that are parsed but not applied: the time to live of entry
	// lists, and the size limit of submissions, which is larger than that of other
	// bodies.
	@Example
	void appliesSettingsForEntryListsAndSubmissions() throws Exception {
		Path directory = Files.createTempDirectory("daemon");
		Path secret = Files.writeString(directory.resolve("federation.secret"), "a secret for tests only");
		EntryServer platform = emptyPlatform();
		DaemonSettings settings = settings(directory, "127.0.0.1:" + platform.address().getPort());
		Daemon daemon = Daemon.start(settings);
		try {
			URI entry = URI.create("http://" + settings.callerAddress());
			awaitReady(entry);
			HttpResponse<String> list = this.client.send(HttpRequest.newBuilder(entry.resolve("/v1/entries")).build(),
					HttpResponse.BodyHandlers.ofString());
			assertThat(list.body()).contains("\"ttlSeconds\":3");
			assertThat(list.headers().firstValue("cache-control")).contains("max-age=3");
			assertThat(submit(entry, 1500)).isEqualTo(400);
			assertThat(submit(entry, 2500)).isEqualTo(413);
		}
		finally {
			daemon.drain();
			platform.close();
			Files.delete(secret);
			Files.delete(directory);
		}
	}

	// Guards against replies that use constant times instead of the settings.
	@Example
	void appliesLimitsToReplies() throws Exception {
		ReplySettings replySettings = ReplySettings.of(settings(Path.of(""), address()).limits());
		assertThat(replySettings.defaultTimeout()).isEqualTo(Duration.ofSeconds(7));
		assertThat(replySettings.progressTimeout()).isEqualTo(Duration.ofMillis(600));
		assertThat(replySettings.retention()).isEqualTo(Duration.ofSeconds(9));
	}

	// Platform services that answer every request with 404, as if the federation had no
	// configuration yet.
	private static EntryServer emptyPlatform() throws Exception {
		return EntryServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				(context, request, responses) -> Single.succeeded(responses.notFound()), DaemonLimits.defaults());
	}

	private void awaitReady(URI entry) throws Exception {
		long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
		HttpRequest request = HttpRequest.newBuilder(entry.resolve("/readyz")).build();
		while (this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
			assertThat(System.nanoTime()).as("the daemon is not ready within 20 s").isLessThan(end);
		}
	}

	private int submit(URI entry, int bytes) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(entry.resolve("/v1/configuration"))
			.header("authorization", "Bearer first")
			.POST(HttpRequest.BodyPublishers.ofString("x".repeat(bytes)))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
	}

	private static DaemonSettings settings(Path directory, String platform) throws IOException {
		String text = """
				{"vm": "vm-1", "region": "south", "dataCentre": "south-a", "callerAddress": "%s", "peerAddress": "%s",
				 "platform": {"tables": "%s", "objects": "%s", "vmList": "%s"},
				 "federationSecretFile": "federation.secret", "bootstrapOperatorDigest": "%s",
				 "entryListTtlMillis": 3000, "limits": %s}
				""".formatted(address(), address(), platform, platform, platform, Credentials.digest("first"), LIMITS);
		return SettingsFile.parse("vm-1.json", text, directory).orThrow();
	}

	private static String address() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

}
