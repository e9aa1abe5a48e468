package io.bilberryvalve.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.bilberryvalve.operators.examples.FederationExample;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

class BilberryvalveTests {

	private final FakeEntry entry = new FakeEntry();

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private final List<Duration> pauses = new ArrayList<>();

	private Path directory;

	@BeforeTry
	void writeExamples() throws IOException {
		this.directory = Files.createTempDirectory("bilberryvalve-cli");
		FederationExample.federation().write(this.directory);
	}

	@AfterTry
	void removeExamples() throws IOException {
		this.entry.close();
		try (Stream<Path> files = Files.walk(this.directory)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	// Guards against a command or option that the usage does not name.
	@Example
	void everyCommandPrintsItsUsage() {
		for (String command : new String[] { "check", "diff", "submit", "show", "entries", "call", "drain", "status",
				"report", "report burn" }) {
			assertThat(run((command + " --help").split(" "))).isEqualTo(ExitCode.OK);
			assertThat(out()).contains("bilberryvalve " + command).contains("--json");
		}
		assertThat(run("--help")).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("report burn:", "exit codes:", "6 the request may have been run");
		assertThat(run("submits")).isEqualTo(ExitCode.USAGE);
		assertThat(run("status", "--entry", "nowhere")).isEqualTo(ExitCode.USAGE);
		assertThat(err()).contains("write host:port");
	}

	// Guards against a stack trace in place of an error, whatever the arguments are.
	@Property(seed = "41", tries = 300)
	void answersAnyArgumentsWithAnExitCode(@ForAll @Size(max = 4) List<@From("words") String> arguments) {
		assertThat(run(arguments.toArray(String[]::new))).isNotNull();
	}

	@Provide
	Arbitrary<String> words() {
		return Arbitraries.oneOf(Arbitraries.of("check", "diff", "submit", "show", "entries", "call", "drain", "status",
				"report", "burn", "--json", "--base", "--key-file", "--timeout", "--entry", "--help", "a b:1", "a_b:1",
				"[:1"), Arbitraries.strings().ofMaxLength(8).filter((text) -> text.indexOf(':') < 0));
	}

	// Guards against a command that fails without a remedy at a part with unknown keys.
	@Example
	void reportsPartsThatItCannotRead() {
		this.entry.accept("federation", "{\"part\": \"federation\"}");
		assertThat(run("show", "federation", "--entry", this.entry.address())).isEqualTo(ExitCode.REFUSED);
		assertThat(err()).contains("use the command of the version that the entries run");
	}

	// Guards against a check that accepts broken references or prints no place.
	@Example
	void checksFiles() throws IOException {
		assertThat(run("check", file("federation"), file("pavio"), file("klokhuis"))).isEqualTo(ExitCode.OK);
		replace("pavio", "\"version\": \"2026.1\"", "\"version\": \"2027\"");
		assertThat(run("check", file("pavio"))).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("references to other parts were not checked");
		assertThat(run("check", file("federation"), file("pavio"))).isEqualTo(ExitCode.INVALID);
		assertThat(err()).contains("pavio:17:45: pipelines[0].model: wick-writer@2027 is not declared");
		assertThat(run("check", "--json", file("federation"), file("pavio"))).isEqualTo(ExitCode.INVALID);
		assertThat(out()).contains("\"valid\":false").contains("\"line\":17,\"column\":45");
		assertThat(run("check", file("absent"))).isEqualTo(ExitCode.NO_INPUT);
	}

	// Guards against a diff whose exit code does not tell a script about differences.
	@Example
	void comparesFilesAndThePartInForce() throws IOException {
		this.entry.accept("pavio", Files.readString(this.directory.resolve("pavio.json")));
		assertThat(run("diff", file("pavio"), "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		replace("pavio", "\"team\": \"support\", \"weight\": 1", "\"team\": \"support\", \"weight\": 2");
		assertThat(run("diff", file("pavio"), "--entry", this.entry.address())).isEqualTo(ExitCode.DIFFERENT);
		assertThat(out()).isEqualToIgnoringNewLines("~ teams[support].weight: 1 -> 2");
	}

	// Guards against a submission that ends at an entry that is down.
	@Example
	void submitsThroughTheNextEntryWhenOneRefusesTheConnection() throws IOException {
		assertThat(run("submit", file("federation"), "--entry", closedPort(), "--entry", this.entry.address()))
			.isEqualTo(ExitCode.OK);
		assertThat(out()).contains("accepted as version 1");
		assertThat(run("submit", file("pavio"), "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(run("submit", file("pavio"), "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("the part in version 2 is the same");
		assertThat(this.entry.requests).allMatch((request) -> request.contains("Bearer operator-key"));
		assertThat(run("submit", file("klokhuis"), "--entry", closedPort())).isEqualTo(ExitCode.UNREACHABLE);
	}

	// Guards against a submission that is accepted twice, or reported as failed although
	// it was accepted, when answers are lost and the repetition is refused.
	@Example
	void resolvesLostAnswersWithTheSameSubmission() {
		this.entry.lose = 2;
		this.entry.refuse = 1;
		assertThat(run("submit", "--json", file("federation"), "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("\"accepted\":true,\"version\":1");
		assertThat(this.entry.version).isEqualTo(1);
		assertThat(this.pauses).containsExactly(Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(200));
		this.entry.lose = 100;
		assertThat(run("submit", file("pavio"), "--submission", "s-9", "--entry", this.entry.address()))
			.isEqualTo(ExitCode.UNKNOWN);
		assertThat(err()).contains("repeat the command with --submission s-9 --base 1");
		this.entry.lose = 0;
		assertThat(run("submit", file("pavio"), "--submission", "s-9", "--base", "1", "--entry", this.entry.address()))
			.isEqualTo(ExitCode.OK);
		assertThat(this.entry.version).isEqualTo(2);
	}

	// Guards against a refusal that is repeated or reported as unknown.
	@Example
	void reportsARefusalWithItsRemedy() {
		this.entry.refuse = 1;
		assertThat(run("submit", file("federation"), "--entry", this.entry.address())).isEqualTo(ExitCode.REFUSED);
		assertThat(err()).contains("store-unavailable happened (outcome not-run); do something");
		assertThat(this.entry.requests).filteredOn((request) -> request.startsWith("POST")).hasSize(1);
	}

	// Guards against a conflict that hides what the other operator changed.
	@Example
	void showsWhatChangedOnAConflict() {
		assertThat(run("submit", file("federation"), "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		String klokhuis = FederationExample.federation().print("klokhuis");
		this.entry.beforeSubmission = () -> this.entry.accept("klokhuis", klokhuis);
		assertThat(run("submit", file("pavio"), "--entry", this.entry.address())).isEqualTo(ExitCode.CONFLICT);
		assertThat(err()).contains("changed since version 1 in part klokhuis:")
			.contains("+ operators[joris]")
			.contains("then resubmit: bilberryvalve submit " + file("pavio") + " --base 2");
		assertThat(run("submit", "--base", "2", file("pavio"), "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
	}

	// Guards against an invalid document that reaches an entry.
	@Example
	void submitsNothingInvalid() {
		assertThat(run("submit", file("pavio"), "--entry", this.entry.address())).isEqualTo(ExitCode.INVALID);
		assertThat(err()).contains("club pavio has no share");
		assertThat(this.entry.requests).noneMatch((request) -> request.startsWith("POST"));
	}

	// Guards against output that loses fields of the entry's answers.
	@Example
	void showsEntriesStatusAndReports() {
		run("submit", file("federation"), "--entry", this.entry.address());
		assertThat(run("show", "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("version 1, digest d1");
		assertThat(run("show", "federation", "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(out()).isEqualTo(FederationExample.federation().print("federation"));
		this.entry.answers.put("/v1/entries",
				"{\"entries\": [{\"address\": \"127.0.0.1:1\", \"dataCentre\": \"south-a\"}], \"ttlSeconds\": 5}");
		assertThat(run("entries", "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(out()).isEqualToIgnoringNewLines("127.0.0.1:1 south-a");
		this.entry.answers.put("/v1/status", "{\"entry\": \"pav-1\", \"state\": \"ready\"}");
		assertThat(run("status", "--entry", closedPort(), "--entry", this.entry.address()))
			.isEqualTo(ExitCode.UNREACHABLE);
		assertThat(out()).contains("state: ready");
		this.entry.answers.put("/v1/burn", "{\"entry\": \"pav-1\", \"rows\": [{\"club\": \"pavio\", \"objective\": "
				+ "\"availability\", \"target\": 0.999, \"windowSeconds\": 300, \"good\": 9, \"bad\": 1, \"burnRate\": 100}]}");
		assertThat(run("report", "burn", "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(out()).containsPattern("pavio +availability +0.999 +300 +9 +1 +100.00");
	}

	// Guards against a drain that moves on to an entry that is to stay.
	@Example
	void drainsExactlyOneEntry() {
		this.entry.answers.put("/v1/drain", "{}");
		assertThat(run("drain", "--entry", closedPort(), "--entry", this.entry.address())).isEqualTo(ExitCode.USAGE);
		assertThat(this.entry.requests).isEmpty();
		assertThat(run("drain", "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
	}

	// Guards against a reply that is cut off, printed twice or reported as whole after a
	// problem.
	@Example
	void printsRepliesAndResumesThem() {
		this.entry.answers.put("/v1/completions",
				"id: r_1_1/1/0@r1\ndata: {\"text\": \"two\"}\n\nid: r_1_1/1/1@r1\ndata: {\"text\": \" wicks\"}\n\n");
		try (FakeEntry other = new FakeEntry()) {
			other.answers.put("/v1/completions", ": keep-alive\n\ndata: {\"text\": \" left\"}\n\ndata: [DONE]\n\n");
			assertThat(run("call", "refill-answers", "how many?", "--entry", this.entry.address(), "--entry",
					other.address()))
				.isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualToIgnoringNewLines("two wicks left");
			assertThat(other.requests).containsExactly("POST /v1/completions Bearer operator-key r_1_1/1/1@r1");
		}
		this.entry.answers.put("/v1/completions", "event: problem\ndata: {\"outcome\": \"unknown\", \"detail\": "
				+ "\"the runner failed\", \"remedy\": \"repeat\"}\n\n");
		assertThat(run("call", "refill-answers", "--entry", this.entry.address())).isEqualTo(ExitCode.UNKNOWN);
		assertThat(err()).contains("the runner failed (outcome unknown); repeat");
	}

	// Guards against a command that waits for ever for a connection that went silent.
	@Example
	void resumesASilentReply() {
		this.entry.silent = true;
		this.entry.answers.put("/v1/completions", "id: r_1_1/1/0@r1\ndata: {\"text\": \"two\"}\n\n");
		try (FakeEntry other = new FakeEntry()) {
			other.answers.put("/v1/completions", "data: {\"text\": \" wicks\"}\n\ndata: [DONE]\n\n");
			assertThat(run("call", "refill-answers", "--timeout", "1", "--entry", this.entry.address(), "--entry",
					other.address()))
				.isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualToIgnoringNewLines("two wicks");
		}
	}

	// Guards against an order whose key is unknown when its answer is lost.
	@Example
	void callsApplicationsWithAKey() {
		this.entry.answers.put("/v1/applications/refill-orders/place", "{\"order\": 7}");
		assertThat(run("call", "refill-orders/place", "{}", "--entry", this.entry.address())).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("{\"order\": 7}");
		assertThat(err()).contains("idempotency key: ");
		assertThat(run("call", "refill-orders/refund", "--entry", this.entry.address())).isEqualTo(ExitCode.REFUSED);
	}

	private ExitCode run(String... arguments) {
		this.out.reset();
		this.err.reset();
		Console console = new Console(new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8),
				Map.of(EntryOptions.KEY_VARIABLE, "operator-key\n"), this.pauses::add);
		return Bilberryvalve.run(console, arguments);
	}

	private String out() {
		return this.out.toString(StandardCharsets.UTF_8);
	}

	private String err() {
		return this.err.toString(StandardCharsets.UTF_8);
	}

	private String file(String part) {
		return this.directory.resolve(part + ".json").toString();
	}

	private void replace(String part, String from, String to) throws IOException {
		Path file = this.directory.resolve(part + ".json");
		String text = Files.readString(file);
		assertThat(text).contains(from);
		Files.writeString(file, text.replace(from, to));
	}

	private static String closedPort() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
