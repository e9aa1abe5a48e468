package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.gateway.route.Team;
import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of streams whose runner breaks off after two of four events, and whose next
 * runner gives a response that may not be able to continue them.
 */
class BrokenStreamTests {

	private static final String CLOSE = "Connection: close\r\n";

	private static final String SEALED = "x-attempt: a1\r\nx-seal: s2\r\n";

	private static final String UNSEALED = "x-attempt: a1\r\n";

	private static final String NOT_RUN = "x-attempt: a1\r\nx-not-run: 1\r\n";

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

	private static final String FIRST_HEAD = "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s1\r\n" + EVENT_STREAM;

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final List<String> DATA = List.of("a", "b", "c", "d");

	private static final int SENT_BEFORE_BREAK = 2;

	private static final long TIMEOUT_SECONDS = 10;

	private static String event(int id) {
		return "id: " + id + "\ndata: " + DATA.get(id - 1) + "\n\n";
	}

	private static String events(int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int id = from; id <= to; id++) {
			text.append(event(id));
		}
		return text.toString();
	}

	private static String response(String status, String headers, String body) {
		return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static String chunkedStream(String body) {
		return "HTTP/1.1 200 OK\r\n" + SEALED + EVENT_STREAM + CHUNKED + "\r\n"
				+ (body.isEmpty() ? "" : RelayFixture.chunk(body)) + LAST_CHUNK;
	}

	private static String unframedStream(String body) {
		return "HTTP/1.1 200 OK\r\n" + SEALED + EVENT_STREAM + "\r\n" + body;
	}

	// Responses that cannot continue a stream after its second event.
	private static List<Answer> errors() {
		List<Answer> answers = new ArrayList<>();
		for (String status : List.of("500 Error", "502 Error", "503 Full", "504 Late", "400 Bad", "404 None",
				"408 Slow", "429 Many")) {
			answers.add(Answer.open("sealed " + status, response(status, SEALED, "an error")));
			answers.add(Answer.open("unsealed " + status, response(status, UNSEALED, "an error")));
			answers.add(Answer.closed("unframed " + status, "HTTP/1.1 " + status + "\r\n" + SEALED + "\r\nan error"));
			answers.add(Answer.open("event stream " + status,
					response(status, SEALED + EVENT_STREAM, "id: 3\ndata: an error\n\n")));
			answers.add(Answer.open("chunked event stream " + status, "HTTP/1.1 " + status + "\r\n" + SEALED
					+ EVENT_STREAM + CHUNKED + "\r\n" + RelayFixture.chunk("id: 3\ndata: an error\n\n") + LAST_CHUNK));
		}
		answers.add(Answer.open("not run 503", response("503 Full", NOT_RUN, "an error")));
		answers.add(Answer.open("not run 429", response("429 Many", NOT_RUN, "an error")));
		answers.add(Answer.open("421", response("421 Other", UNSEALED, "an error")));
		answers.add(Answer.open("302", response("302 Found", SEALED + "Location: /other\r\n", "an error")));
		answers.add(Answer.open("304", "HTTP/1.1 304 Same\r\n" + SEALED + "\r\n"));
		answers.add(Answer.closed("101", "HTTP/1.1 101 Switching\r\n" + SEALED + "\r\nan error"));
		return answers;
	}

	private static List<Answer> unsuitableSuccesses() {
		List<Answer> answers = new ArrayList<>();
		String rest = events(3, 4);
		answers.add(Answer.open("text", response("200 OK", SEALED + "Content-Type: text/plain\r\n", "an answer")));
		answers.add(Answer.open("JSON", response("200 OK", SEALED + "Content-Type: application/json\r\n", "{}")));
		answers.add(Answer.open("no type", response("200 OK", SEALED, rest)));
		answers.add(Answer.closed("unframed text", "HTTP/1.1 200 OK\r\n" + SEALED + "\r\nan answer"));
		answers.add(Answer.open("long text", response("200 OK", SEALED, "an answer".repeat(1 << 17))));
		answers.add(Answer.open("unsealed stream", response("200 OK", UNSEALED + EVENT_STREAM, rest)));
		answers.add(
				Answer.open("encoded", response("200 OK", SEALED + EVENT_STREAM + "Content-Encoding: gzip\r\n", rest)));
		answers.add(Answer.open("206", response("206 Part", SEALED + EVENT_STREAM, rest)));
		answers.add(Answer.open("204", "HTTP/1.1 204 None\r\n" + SEALED + "\r\n"));
		answers.add(Answer.open("204 stream", "HTTP/1.1 204 None\r\n" + SEALED + EVENT_STREAM + "\r\n"));
		answers.add(Answer.open("205", response("205 Reset", SEALED, "")));
		return answers;
	}

	private static List<Answer> brokenResponses() {
		List<Answer> answers = new ArrayList<>();
		answers.add(Answer.closed("nothing", ""));
		answers.add(Answer.open("garbage", "\u0000\u0001garbage\r\n\r\n"));
		answers.add(Answer.closed("text without head", "an error"));
		answers.add(Answer.closed("broken head", "HTTP/1.1 500 Err"));
		answers.add(Answer.closed("unframed without events", unframedStream("")));
		answers.add(Answer.closed("unframed with part of an event", unframedStream("id: 3\nda")));
		answers.add(
				Answer.closed("chunked without end", "HTTP/1.1 200 OK\r\n" + SEALED + EVENT_STREAM + CHUNKED + "\r\n"));
		answers.add(Answer.closed("chunked with part of an event", chunkedStream("id: 3\ndata: c\n")));
		answers.add(Answer.closed("too short",
				"HTTP/1.1 200 OK\r\n" + SEALED + EVENT_STREAM + "Content-Length: 900\r\n\r\n"));
		answers.add(Answer.open("malformed chunk",
				"HTTP/1.1 200 OK\r\n" + SEALED + EVENT_STREAM + CHUNKED + "\r\nzz\r\nid: 3\ndata: c\n\n\r\n"));
		answers.add(Answer.open("head as an event", chunkedStream(response("500 Error", SEALED, "") + LAST_CHUNK)));
		answers.add(Answer.closed("head as an event, unframed", unframedStream(response("500 Error", SEALED, ""))));
		answers.add(Answer.open("error as an event", chunkedStream("an error\n\n")));
		answers.add(Answer.open("event without identifier", chunkedStream("data: c\n\n")));
		answers.add(Answer.open("repeated without the last event", chunkedStream(event(1) + events(3, 4))));
		return answers;
	}

	private static RouteTable table() {
		List<Route> routes = List.of(route("/stream/", 2, true), route("/long/", 3, true), route("/once/", 3, false));
		return new RouteTable(2, routes, List.of(new Service("app", null)),
				List.of(new Team("team-1", List.of("secret"), OptionalInt.empty())),
				new CallerLimits(4096, 1 << 16, Duration.ofSeconds(3), Duration.ofSeconds(15)));
	}

	private static Route route(String prefix, int attempts, boolean resumable) {
		return new Route(prefix, "host.example", prefix, RequestKind.STREAMING, Duration.ofSeconds(5),
				Duration.ofSeconds(2), Duration.ofMillis(200), 1, List.of(new Route.WeightedService("app", 1)),
				attempts, false, resumable);
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void reset(Socket socket) throws IOException {
		socket.setSoLinger(true, 0);
		socket.close();
	}

	private static void await(CountDownLatch latch) throws IOException {
		try {
			if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IOException("the caller has not received the first events");
			}
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static int lastEvent(String request) {
		String lower = request.toLowerCase(Locale.ROOT);
		int at = lower.indexOf("last-event-id: ");
		return (at < 0) ? 0 : Integer.parseInt(lower.substring(at + 15, lower.indexOf('\r', at)));
	}

	// Relays a stream whose first runner breaks off, whose second one gives the answer,
	// and whose third one continues the stream.
	private static String relay(Ending ending, Answer answer, String path, String more) throws IOException {
		AtomicInteger attempts = new AtomicInteger();
		CountDownLatch received = new CountDownLatch(1);
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			switch (attempts.getAndIncrement()) {
				case 0 -> {
					write(out, ending.begin(events(lastEvent(request) + 1, SENT_BEFORE_BREAK)));
					await(received);
					ending.breakOff(socket, out);
				}
				case 1 -> answer.write(socket, out);
				default -> write(out, chunkedStream(events(lastEvent(request) + 1, DATA.size())));
			}
		};
		try (ScriptedRunner one = new ScriptedRunner(script);
				ScriptedRunner two = new ScriptedRunner(script);
				ScriptedRunner three = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(one, two, three);
				Socket caller = router.open()) {
			router.context().configure(table());
			RelayFixture.send(caller, RelayFixture.request("POST", path, "a1", more, "prompt"));
			InputStream in = caller.getInputStream();
			String begin = RelayFixture.readUntil(in, RelayFixture.chunk(event(SENT_BEFORE_BREAK)));
			received.countDown();
			return begin + new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	// The chunks of the events without the head of the response.
	private static String chunks(String response) {
		assertThat(response).startsWith("HTTP/1.1 200 OK\r\n").contains("x-seal: s1\r\n");
		return response.substring(response.indexOf("\r\n\r\n") + 4);
	}

	private static String chunksOf(int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int id = from; id <= to; id++) {
			text.append(RelayFixture.chunk(event(id)));
		}
		return text.toString();
	}

	private static void assertCut(List<Answer> answers) throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (Answer answer : answers) {
			for (Ending ending : Ending.values()) {
				String response = relay(ending, answer, "/stream/1", CLOSE);
				softly.assertThat(chunks(response))
					.as(ending + ", then " + answer.name())
					.isEqualTo(chunksOf(1, SENT_BEFORE_BREAK));
			}
		}
		softly.assertAll();
	}

	private static void assertContinuedByThird(List<Answer> answers) throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (Answer answer : answers) {
			String response = relay(Ending.RESET, answer, "/long/1", CLOSE);
			softly.assertThat(chunks(response)).as(answer.name()).isEqualTo(chunksOf(1, DATA.size()) + LAST_CHUNK);
		}
		softly.assertAll();
	}

	// Guards against the text or the head of an error in the middle of a stream, and
	// against an error that ends the stream as if it were complete.
	@Example
	void errorOfTheNextRunnerIsNoPartOfTheStream() throws IOException {
		assertCut(errors());
	}

	// Guards against a success that is no event stream in the middle of a stream.
	@Example
	void unsuitableSuccessOfTheNextRunnerIsNoPartOfTheStream() throws IOException {
		assertCut(unsuitableSuccesses());
	}

	// Guards against broken responses and other bytes in the middle of a stream.
	@Example
	void brokenResponseOfTheNextRunnerIsNoPartOfTheStream() throws IOException {
		assertCut(brokenResponses());
	}

	// Guards against a stream that is cut although another attempt is allowed.
	@Example
	void streamContinuesAtAThirdRunner() throws IOException {
		List<Answer> answers = new ArrayList<>(errors());
		answers.addAll(unsuitableSuccesses());
		answers.addAll(brokenResponses());
		assertContinuedByThird(answers);
	}

	// Guards against a connection that stays open after a cut, on which the caller would
	// take the next response for the rest of its stream.
	@Example
	void keptCallerConnectionIsClosedAfterACut() throws IOException {
		for (Answer answer : List.of(errors().get(0), unsuitableSuccesses().get(0), brokenResponses().get(0))) {
			String response = relay(Ending.RESET, answer, "/stream/1", "");
			assertThat(chunks(response)).as(answer.name()).isEqualTo(chunksOf(1, SENT_BEFORE_BREAK));
		}
	}

	// Guards against the same faults in a stream that its caller has resumed.
	@Example
	void streamThatItsCallerResumedIsCutOrWhole() throws IOException {
		List<Answer> answers = new ArrayList<>(errors());
		answers.addAll(unsuitableSuccesses());
		answers.addAll(brokenResponses());
		SoftAssertions softly = new SoftAssertions();
		for (Answer answer : answers) {
			String more = CLOSE + "Last-Event-Id: 1\r\n";
			softly.assertThat(chunks(relay(Ending.RESET, answer, "/stream/1", more)))
				.as("cut, " + answer.name())
				.isEqualTo(chunksOf(2, 2));
			softly.assertThat(chunks(relay(Ending.RESET, answer, "/long/1", more)))
				.as("whole, " + answer.name())
				.isEqualTo(chunksOf(2, DATA.size()) + LAST_CHUNK);
		}
		softly.assertAll();
	}

	// Guards against events that come twice or are lost where the next runner continues
	// the stream, and against bytes behind its response.
	@Example
	void nextRunnerContinuesTheStream() throws IOException {
		String extra = response("200 OK", SEALED, "extra");
		List<Answer> answers = List.of(Answer.open("chunked", chunkedStream(events(3, 4))),
				Answer.open("with length", response("200 OK", SEALED + EVENT_STREAM, events(3, 4))),
				Answer.closed("unframed", unframedStream(events(3, 4))),
				Answer.open("repeated from the beginning", chunkedStream(events(1, 4))),
				Answer.open("repeated from the last event", chunkedStream(events(2, 4))),
				Answer.open("behind a response to another request",
						response("503 Full", "x-attempt: a0\r\nx-not-run: 1\r\n", "") + chunkedStream(events(3, 4))),
				Answer.open("behind a preliminary response",
						"HTTP/1.1 103 Early Hints\r\n\r\n" + chunkedStream(events(3, 4))),
				Answer.open("extra response", chunkedStream(events(3, 4)) + extra),
				Answer.open("extra response, with length",
						response("200 OK", SEALED + EVENT_STREAM, events(3, 4)) + extra));
		SoftAssertions softly = new SoftAssertions();
		for (Answer answer : answers) {
			for (Ending ending : Ending.values()) {
				softly.assertThat(chunks(relay(ending, answer, "/stream/1", CLOSE)))
					.as(ending + ", then " + answer.name())
					.isEqualTo(chunksOf(1, DATA.size()) + LAST_CHUNK);
			}
		}
		softly.assertAll();
	}

	// Guards against the head of an extra response that is taken for an event.
	@Example
	void responseBehindAnUnframedContinuationIsNoEvent() throws IOException {
		Answer answer = Answer.closed("", unframedStream(events(3, 4) + response("200 OK", SEALED, "")));
		assertThat(chunks(relay(Ending.RESET, answer, "/stream/1", CLOSE))).isEqualTo(chunksOf(1, DATA.size()));
	}

	// Guards against a cut where only the end of the response was lost.
	@Example
	void streamWithoutFurtherEventsIsComplete() throws IOException {
		List<Answer> answers = List.of(Answer.open("chunked", chunkedStream("")),
				Answer.open("with length", response("200 OK", SEALED + EVENT_STREAM, "")));
		for (Answer answer : answers) {
			assertThat(chunks(relay(Ending.RESET, answer, "/stream/1", CLOSE))).as(answer.name())
				.isEqualTo(chunksOf(1, SENT_BEFORE_BREAK) + LAST_CHUNK);
		}
	}

	// Guards against a stream without resumption that is sent to a second runner.
	@Example
	void streamThatCannotBeResumedIsCut() throws IOException {
		Answer answer = Answer.open("", chunkedStream(events(3, 4)));
		for (Ending ending : Ending.values()) {
			assertThat(chunks(relay(ending, answer, "/once/1", CLOSE))).as(ending.name())
				.isEqualTo(chunksOf(1, SENT_BEFORE_BREAK));
		}
	}

	/** How the first runner breaks off. */
	private enum Ending {

		RESET, CLOSE_IN_EVENT, CLOSE_IN_CHUNK, CLOSE_BETWEEN_CHUNKS, MALFORMED_CHUNK, CLOSE_BEFORE_LENGTH,
		UNFRAMED_RESET, UNFRAMED_CLOSE_IN_EVENT;

		String begin(String events) {
			return switch (this) {
				case CLOSE_BEFORE_LENGTH -> FIRST_HEAD + "Content-Length: 900\r\n\r\n" + events;
				case UNFRAMED_RESET, UNFRAMED_CLOSE_IN_EVENT -> FIRST_HEAD + "\r\n" + events;
				default -> FIRST_HEAD + CHUNKED + "\r\n" + RelayFixture.chunk(events);
			};
		}

		void breakOff(Socket socket, OutputStream out) throws IOException {
			switch (this) {
				case RESET, UNFRAMED_RESET -> reset(socket);
				case CLOSE_IN_EVENT -> write(out, RelayFixture.chunk("id: 3\nda"));
				case CLOSE_IN_CHUNK -> write(out, "20\r\nid: 3\ndata: c");
				case MALFORMED_CHUNK -> write(out, "zz\r\nid: 3\ndata: c\n\n\r\n");
				case UNFRAMED_CLOSE_IN_EVENT, CLOSE_BEFORE_LENGTH -> write(out, "id: 3\nda");
				default -> {
				}
			}
			if (!socket.isClosed()) {
				socket.close();
			}
		}

	}

	/**
	 * Response of the second runner.
	 *
	 * @param name description of the response
	 * @param bytes the bytes on the connection
	 * @param closes whether the runner closes the connection after them
	 */
	private record Answer(String name, String bytes, boolean closes) {

		static Answer open(String name, String bytes) {
			return new Answer(name, bytes, false);
		}

		static Answer closed(String name, String bytes) {
			return new Answer(name, bytes, true);
		}

		void write(Socket socket, OutputStream out) throws IOException {
			BrokenStreamTests.write(out, this.bytes);
			if (this.closes) {
				socket.close();
			}
		}

	}

}
