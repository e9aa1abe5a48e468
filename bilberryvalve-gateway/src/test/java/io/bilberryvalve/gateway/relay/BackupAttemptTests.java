package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import io.bilberryvalve.policy.quarantine.PromptParts;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what backup attempts must not do to other requests and to the attempt that is
 * in progress.
 */
class BackupAttemptTests {

	private static final RunnerId ENGINE = new RunnerId("engine");

	private static final String HEAD = "HTTP/1.1 200 OK\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private static final String FIRST_EVENTS = RelayFixture.chunk("id: 1\ndata: a\n\n")
			+ RelayFixture.chunk("id: 2\ndata: b\n\n");

	private static final String LAST_EVENT = RelayFixture.chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";

	private static final String END = "0\r\n\r\n";

	private static final Duration STALL = Duration.ofMillis(700);

	private static final int SILENT_STREAMS = 8;

	private static final int TIMEOUT_MILLIS = 2000;

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static CompletableFuture<StallProbe.ProbeResult> noReport(ListedRunner first) {
		return CompletableFuture.completedFuture(new StallProbe.ProbeResult(false, List.of()));
	}

	private static Socket ask(RelayFixture router, String path, String attempt, String more) throws IOException {
		Socket caller = router.open();
		caller.setSoTimeout(TIMEOUT_MILLIS);
		RelayFixture.send(caller, RelayFixture.request("POST", path, attempt, more, "prompt"));
		return caller;
	}

	// Lets silent attempts be found, their runners be asked, and the reports be handled.
	private static void checkForStalls(RelayFixture router) {
		router.checkProgressAfter(STALL);
		router.checkProgressAfter(Duration.ZERO);
	}

	// Guards against requests that are held although slots are free, because many
	// requests wait for a backup attempt that fits nowhere.
	@Example
	void newRequestIsServedWhileSilentStreamsWaitForBackups() throws IOException {
		List<Socket> callers = new ArrayList<>();
		ScriptedRunner.Script script = (request, count, socket, out) -> write(out,
				HEAD + FIRST_EVENTS + (request.contains("x-attempt: new") ? LAST_EVENT : ""));
		try (ScriptedRunner engine = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(engine).withConfiguration()
					.withStallProbe(BackupAttemptTests::noReport)) {
			for (int i = 0; i < SILENT_STREAMS; i++) {
				Socket caller = ask(router, "/model/1", "a" + i, "");
				callers.add(caller);
				RelayFixture.readUntil(caller.getInputStream(), "id: 2\ndata: b\n\n\r\n");
			}
			checkForStalls(router);
			try (Socket caller = ask(router, "/model/1", "new", "")) {
				assertThat(RelayFixture.readUntil(caller.getInputStream(), END)).startsWith("HTTP/1.1 200 ");
			}
		}
		finally {
			for (Socket caller : callers) {
				caller.close();
			}
		}
	}

	// Guards against a prompt that crashes runners and is sent to another one because
	// its own is silent.
	@Example
	void heldPromptIsNotSentToAnotherEngine() throws IOException {
		try (ScriptedRunner engine = new ScriptedRunner((request, count, socket, out) -> {
		});
				ScriptedRunner other = new ScriptedRunner(
						(request, count, socket, out) -> write(out, HEAD + FIRST_EVENTS + LAST_EVENT));
				RelayFixture router = new RelayFixture(engine).withConfiguration();
				Socket caller = ask(router, "/model/1", "held", "x-parts: bad:10,own:10\r\n")) {
			engine.next();
			PartQuarantine quarantine = router.context().partQuarantine();
			for (int i = 0; i < 3; i++) {
				quarantine.recordCrash(PromptParts.parse("bad:10,other" + i + ":10"), new RunnerId("crashed-" + i), 1);
				router.advanceCrashClock(Duration.ofSeconds(1));
			}
			for (int i = 0; i < 3; i++) {
				router.context().progressTracker().track(List.of(ENGINE));
			}
			router.addEngine("engine-2", other);
			checkForStalls(router);
			try (Socket sound = ask(router, "/model/1", "sound", "")) {
				RelayFixture.readUntil(sound.getInputStream(), END);
			}
			assertThat(other.next()).contains("x-attempt: sound");
			assertThat(other.hasRequest()).isFalse();
			assertThat(caller.isClosed()).isFalse();
		}
	}

	// Guards against a stream that is cut because its backup attempt could not be made,
	// although its engine goes on.
	@Example
	void streamIsNotCutWhenItsBackupAttemptFailsToStart() throws IOException {
		CountDownLatch goOn = new CountDownLatch(1);
		ScriptedRunner.Script pausing = (request, count, socket, out) -> {
			write(out, HEAD + FIRST_EVENTS);
			try {
				if (!goOn.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
					throw new IOException("the engine was not told to go on");
				}
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
			write(out, LAST_EVENT);
		};
		try (ScriptedRunner engine = new ScriptedRunner(pausing);
				RelayFixture router = new RelayFixture(engine).withConfiguration()
					.withStallProbe(BackupAttemptTests::noReport);
				Socket caller = ask(router, "/model/1", "a1", "")) {
			RelayFixture.readUntil(caller.getInputStream(), "id: 2\ndata: b\n\n\r\n");
			router.withFailingPools();
			router.addEngine("engine-2", engine);
			checkForStalls(router);
			goOn.countDown();
			assertThat(RelayFixture.readUntil(caller.getInputStream(), END)).contains("id: 3");
		}
	}

	// Guards against a request that is held until its time limit, because an error occurs
	// while its broken attempt is handled.
	@Example
	void requestIsAnsweredWhenItsBrokenAttemptCannotBeHandled() throws IOException {
		CountDownLatch goOn = new CountDownLatch(1);
		ScriptedRunner.Script breaking = (request, count, socket, out) -> {
			try {
				if (!goOn.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
					throw new IOException("the engine was not told to go on");
				}
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
			socket.close();
		};
		try (ScriptedRunner engine = new ScriptedRunner(breaking);
				RelayFixture router = new RelayFixture(engine).withConfiguration();
				Socket caller = ask(router, "/model/1", "a1", "x-parts: shared:10,own:10\r\n")) {
			engine.next();
			router.withFailingPools();
			goOn.countDown();
			assertThat(RelayFixture.readUntil(caller.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 502 ");
		}
	}

	// Guards against an answer of which a part was sent and that another attempt
	// continues.
	@Example
	void longAnswerThatBreaksOffIsNotContinuedByAnotherRunner() throws IOException {
		String part = "x".repeat(3 << 20);
		ScriptedRunner.Script breaking = (request, count, socket, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nx-seal: s1\r\nContent-Length: " + (4 << 20) + "\r\n\r\n" + part);
			socket.close();
		};
		ScriptedRunner.Script streaming = (request, count, socket, out) -> write(out, HEAD + LAST_EVENT);
		CountDownLatch first = new CountDownLatch(1);
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			boolean begins = first.getCount() > 0;
			first.countDown();
			(begins ? breaking : streaming).answer(request, count, socket, out);
		};
		try (ScriptedRunner one = new ScriptedRunner(script);
				ScriptedRunner two = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			String more = "Connection: close\r\nlast-event-id: 2\r\n";
			String response = router.exchange(RelayFixture.request("GET", "/read/1", "a1", more, ""));
			assertThat(response.length()).isGreaterThan(1 << 20);
			assertThat(response.contains("id: 3")).isFalse();
			assertThat(response.endsWith(END)).isFalse();
		}
	}

}
