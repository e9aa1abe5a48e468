package io.bilberryvalve.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.daemon.Bilberryvalved;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.operators.Federation;
import io.bilberryvalve.standins.Standins;

/**
 * A federation of two clubs as processes on loopback: entries, engines, one application
 * runner and the platform.
 *
 * <pre>
 * try (LocalFederation federation = LocalFederation.start(new Plan(4, 3, 64, 4000))) {
 *     ClientReply reply = federation.client(0).complete("pavio-shop", 20);
 * }
 * </pre>
 */
public final class LocalFederation implements AutoCloseable {

	/** Layers of the model. */
	public static final int LAYERS = 16;

	private static final int HEAP_MEGABYTES = 96;

	/** Another process can only be polled; short against its start. */
	private static final long POLL_MILLIS = 50;

	private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

	private static final String BOOTSTRAP_KEY = "bootstrap-key";

	private static final ObjectMapper JSON = new ObjectMapper();

	private final HttpCalls calls = new HttpCalls();

	private final Map<String, Address> addresses = new LinkedHashMap<>();

	private final Plan plan;

	private final Path directory;

	private final ProcessGroup group;

	private long version;

	private LocalFederation(Plan plan, Path directory) {
		this.plan = plan;
		this.directory = directory;
		this.group = new ProcessGroup(directory);
	}

	/**
	 * Starts all processes and submits the configuration. Returns when each entry has it
	 * in force.
	 * @param plan sizes
	 * @return the federation
	 * @throws Exception if a process does not start in time
	 */
	public static LocalFederation start(Plan plan) throws Exception {
		LocalFederation federation = new LocalFederation(plan, Files.createTempDirectory("bilberryvalve"));
		try {
			federation.startAll();
			return federation;
		}
		catch (Exception ex) {
			federation.close();
			throw ex;
		}
	}

	/**
	 * Returns the processes.
	 * @return the processes; entries are named {@code entry-0} and so on, engines
	 * {@code engine-0} and so on, the others {@code platform} and {@code orders}
	 */
	public ProcessGroup processes() {
		return this.group;
	}

	/**
	 * Returns the address of a process for its clients.
	 * @param name name of the process
	 * @return the address
	 */
	public Address address(String name) {
		return this.addresses.get(name);
	}

	/**
	 * Returns a client of an entry.
	 * @param entry number of the entry
	 * @return the client
	 */
	public EntryClient client(int entry) {
		return new EntryClient(this.calls.http(), address("entry-" + entry));
	}

	/**
	 * Sets the faults of a stand-in.
	 * @param name name of the process
	 * @param document faults as JSON
	 * @throws Exception if the stand-in does not answer
	 */
	public void faults(String name, String document) throws Exception {
		this.calls.success("PUT", address(name), "/admin/faults", document, "");
	}

	/**
	 * Reads from a process.
	 * @param name name of the process
	 * @param path path of the resource
	 * @return the body
	 * @throws Exception if the process does not answer with a success
	 */
	public String read(String name, String path) throws Exception {
		return this.calls.success("GET", address(name), path, null, BOOTSTRAP_KEY);
	}

	/**
	 * Starts an entry, or starts it again after its end.
	 * @param entry number of the entry
	 * @throws IOException if the process cannot be started
	 */
	public void startEntry(int entry) throws IOException {
		this.group.start("entry-" + entry, HEAP_MEGABYTES, Bilberryvalved.class.getName(),
				List.of("--settings", settings(entry).toString()));
	}

	/**
	 * Starts an engine again after its end and waits until it answers.
	 * @param engine number of the engine
	 * @throws Exception if it does not answer in time
	 */
	public void restartEngine(int engine) throws Exception {
		this.group.awaitExit("engine-" + engine);
		standin("engine-" + engine, engineArguments(engine));
		awaitEngine(engine);
	}

	/**
	 * Waits until an entry has a configuration in force and accepts requests.
	 * @param entry number of the entry
	 * @param expected version, or 0 for any
	 * @throws Exception if that does not happen in time
	 */
	public void awaitEntry(int entry, long expected) throws Exception {
		await("entry-" + entry,
				() -> version(entry) >= expected && read("entry-" + entry, "/readyz").contains("ready"));
	}

	/**
	 * Submits a part of the configuration at an entry.
	 * @param entry number of the entry
	 * @param part name of the part
	 * @param document its text
	 * @param submission identifier of the submission
	 * @return the accepted version
	 * @throws Exception if the submission is not accepted
	 */
	public long submit(int entry, String part, String document, String submission) throws Exception {
		String key = submission.startsWith("start-") ? BOOTSTRAP_KEY : part + "-operator";
		HttpResponse<String> answer = submitAt(entry, part, document, submission, this.version, key);
		if (answer.statusCode() >= 300) {
			throw new IOException("submission answered " + answer.statusCode() + ": " + answer.body());
		}
		this.version = JSON.readTree(answer.body()).get("version").asLong();
		return this.version;
	}

	/**
	 * Submits a part of the configuration as its club's operator, on a base version that
	 * the caller names, and returns the answer whatever it is.
	 * @param entry number of the entry
	 * @param club name of the club
	 * @param document its text
	 * @param submission identifier of the submission
	 * @param baseVersion version on which the submission is based
	 * @return the answer
	 * @throws Exception if no answer arrives
	 */
	public HttpResponse<String> submitAt(int entry, String club, String document, String submission, long baseVersion)
			throws Exception {
		return submitAt(entry, club, document, submission, baseVersion, club + "-operator");
	}

	private HttpResponse<String> submitAt(int entry, String part, String document, String submission, long base,
			String key) throws Exception {
		ObjectNode node = JSON.createObjectNode();
		node.put("submission", submission);
		node.put("baseVersion", base);
		node.put("part", part);
		node.put("document", document);
		return this.calls.answer("POST", address("entry-" + entry), "/v1/configuration", node.toString(), key);
	}

	/**
	 * Returns the configuration version that an entry has in force.
	 * @param entry number of the entry
	 * @return the version
	 * @throws Exception if the entry does not answer
	 */
	public long version(int entry) throws Exception {
		return JSON.readTree(read("entry-" + entry, "/v1/status")).path("configuration").asLong();
	}

	/**
	 * Starts the application runner again after its end and waits until it answers.
	 * @param delay time from the arrival of a call to its execution
	 * @throws Exception if it does not answer in time
	 */
	public void restartApplication(Duration delay) throws Exception {
		this.group.awaitExit("orders");
		standin("orders", List.of("application", "--delay-ms", Long.toString(delay.toMillis())));
		await("orders", () -> read("orders", "/v1/executions").contains("executions"));
	}

	/**
	 * Returns the document of a club.
	 * @param club the club
	 * @param maxTokens largest reply of its pipeline
	 * @return the text
	 */
	public String clubDocument(String club, int maxTokens) {
		return new PlanDeclaration(this.plan, this::address).declare(maxTokens).print(club);
	}

	/**
	 * Returns the number of entries.
	 * @return the number
	 */
	public int entries() {
		return this.plan.entries();
	}

	@Override
	public void close() {
		this.group.close();
		try (Stream<Path> files = Files.walk(this.directory)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void startAll() throws Exception {
		chooseAddresses();
		Files.writeString(this.directory.resolve("federation.secret"), "0123456789abcdef0123456789abcdef");
		standin("platform", List.of("platform", "--vm-lag-ms", "1000"));
		standin("orders", List.of("application"));
		for (int i = 0; i < engines(); i++) {
			standin("engine-" + i, engineArguments(i));
		}
		for (int i = 0; i < this.plan.entries(); i++) {
			startEntry(i);
		}
		for (int i = 0; i < this.plan.entries(); i++) {
			awaitEntry(i, 0);
		}
		Federation declaration = new PlanDeclaration(this.plan, this::address).declare(this.plan.maxTokens());
		for (String part : List.of("federation", "pavio", "klokhuis")) {
			submit(0, part, declaration.print(part), "start-" + part);
		}
		for (int i = 0; i < this.plan.entries(); i++) {
			awaitEntry(i, this.version);
		}
		for (int i = 0; i < engines(); i++) {
			awaitEngine(i);
		}
	}

	private void awaitEngine(int engine) throws Exception {
		await("engine-" + engine, () -> read("engine-" + engine, "/v1/load").contains("runner"));
	}

	/**
	 * Returns the number of engines.
	 * @return the number
	 */
	public int engines() {
		return 2 * this.plan.chains();
	}

	private void chooseAddresses() throws IOException {
		List<String> names = new ArrayList<>(List.of("platform", "orders"));
		for (int i = 0; i < engines(); i++) {
			names.add("engine-" + i);
		}
		for (int i = 0; i < this.plan.entries(); i++) {
			names.add("entry-" + i);
			names.add("peer-" + i);
		}
		this.addresses.putAll(FreePorts.choose(names));
	}

	private void standin(String name, List<String> arguments) throws IOException {
		List<String> all = new ArrayList<>(arguments);
		all.addAll(List.of("--port", Integer.toString(address(name).port())));
		this.group.start(name, HEAP_MEGABYTES, Standins.class.getName(), all);
	}

	private List<String> engineArguments(int engine) {
		int first = (engine % 2 == 0) ? 0 : LAYERS / 2;
		return List.of("engine", "--runner", "engine-" + engine, "--model", "m", "--version", "1", "--first",
				Integer.toString(first), "--end", Integer.toString(first + LAYERS / 2), "--decode-rate",
				Double.toString(this.plan.layersPerSecond()), "--load-lag-ms", "200");
	}

	private Path settings(int entry) throws IOException {
		ObjectNode node = JSON.createObjectNode();
		node.put("vm", "entry-" + entry);
		node.put("region", "south");
		node.put("dataCentre", PlanDeclaration.place(entry));
		node.put("callerAddress", address("entry-" + entry).toString());
		node.put("peerAddress", address("peer-" + entry).toString());
		ObjectNode platform = node.putObject("platform");
		for (String service : List.of("tables", "objects", "vmList")) {
			platform.put(service, address("platform").toString());
		}
		node.put("federationSecretFile", "federation.secret");
		node.put("bootstrapOperatorDigest", KeyDigest.of(BOOTSTRAP_KEY));
		node.putArray("seedPeers").add(address("peer-0").toString()).add(address("peer-1").toString());
		Path file = this.directory.resolve("entry-" + entry + ".json");
		Files.writeString(file, node.toPrettyString());
		return file;
	}

	/**
	 * Waits until a condition holds, at most one minute.
	 * @param name name of the process whose output explains a failure
	 * @param condition the condition; an {@link IOException} means that it does not hold
	 * @throws Exception if it does not hold in time
	 */
	public void await(String name, Condition condition) throws Exception {
		long end = System.nanoTime() + START_TIMEOUT.toNanos();
		while (System.nanoTime() < end) {
			try {
				if (condition.holds()) {
					return;
				}
			}
			catch (IOException ex) {
				// The process does not listen yet.
			}
			Thread.sleep(POLL_MILLIS);
		}
		throw new IllegalStateException(name + " is not ready after " + START_TIMEOUT + ": " + this.group.output(name));
	}

	/**
	 * Sizes of a federation.
	 *
	 * @param entries number of entries
	 * @param chains number of chains, of two engines each
	 * @param maxTokens largest reply
	 * @param layersPerSecond speed of each engine
	 */
	public record Plan(int entries, int chains, int maxTokens, double layersPerSecond) {

	}

	/**
	 * Something that is awaited.
	 */
	@FunctionalInterface
	public interface Condition {

		/**
		 * Tells whether the condition holds now.
		 * @return whether it holds
		 * @throws Exception if that cannot be found out
		 */
		boolean holds() throws Exception;

	}

}
