package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.bilberryvalve.policy.overload.Backlog;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that waited in a socket buffer because the event loop has a backlog.
 */
class BacklogOfRequestsTests {

	private static final int TIME_LIMIT_MILLIS = 4000;

	private static Backlog backlog(long millis) {
		Backlog backlog = new Backlog();
		backlog.record(millis);
		backlog.record(millis);
		return backlog;
	}

	private static ScriptedRunner runner() {
		return new ScriptedRunner((request, count, socket, out) -> out.write(
				("HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s1\r\nKeep-Alive: timeout=9\r\nContent-Type: text/event-stream\r\n"
						+ "Content-Length: 16\r\n\r\nid: 1\ndata: ab\n\n")
					.getBytes(StandardCharsets.ISO_8859_1)));
	}

	private static String exchange(RelayFixture router, String path) throws IOException {
		return router.exchange(RelayFixture.request("POST", path, "a1", "Connection: close\r\n", "body"));
	}

	// Guards against requests that are read long after their callers gave up, and whose
	// work delays all that follow.
	@Example
	void requestsBehindALongBacklogAreRejectedAtOnce() throws IOException {
		for (String path : List.of("/read/1", "/book/1", "/stream/1", "/model/1")) {
			try (ScriptedRunner runner = runner(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
				router.context().useBacklogs((loop) -> backlog(1500));
				assertThat(exchange(router, path)).as(path)
					.startsWith("HTTP/1.1 503 ")
					.containsIgnoringCase("retry-after: ");
				assertThat(runner.hasRequest()).as(path).isFalse();
				router.context().useBacklogs((loop) -> backlog(0));
				assertThat(exchange(router, path)).as(path).startsWith("HTTP/1.1 200 ");
			}
		}
	}

	// Guards against work of runners for callers who left while their requests waited.
	@Example
	void requestOfACallerWhoHasLeftIsNotSent() throws IOException {
		try (ScriptedRunner runner = runner(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			router.context().useBacklogs((loop) -> backlog(400));
			assertThat(exchange(router, "/read/1")).startsWith("HTTP/1.1 200 ");
			CountDownLatch idle = router.occupyLoop();
			try (Socket caller = router.open()) {
				RelayFixture.send(caller, RelayFixture.request("POST", "/read/2", "a1", "", "body"));
			}
			idle.countDown();
			assertThat(exchange(router, "/read/3")).startsWith("HTTP/1.1 200 ");
			assertThat(runner.next()).startsWith("POST /read/1 ");
			assertThat(runner.next()).startsWith("POST /read/3 ");
		}
	}

	// Guards against runners that are given more time than is left of the caller's.
	@Example
	void timeInTheBacklogCountsTowardsTheTimeLimit() throws IOException {
		try (ScriptedRunner runner = runner(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			router.context().useBacklogs((loop) -> backlog(900));
			assertThat(exchange(router, "/book/1")).startsWith("HTTP/1.1 200 ");
			String sent = runner.next();
			int at = sent.indexOf("x-deadline: ") + 12;
			assertThat(Integer.parseInt(sent.substring(at, sent.indexOf('\r', at))))
				.isLessThanOrEqualTo(TIME_LIMIT_MILLIS - 900);
		}
	}

}
