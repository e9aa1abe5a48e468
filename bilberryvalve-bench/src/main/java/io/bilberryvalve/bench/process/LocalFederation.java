package io.bilberryvalve.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
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
import io.bilberryvalve.operators.ClubDeclaration;
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

	private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

	private static final String BOOTSTRAP_KEY = "bootstrap-key";

	private static final String[] PLACES = { "south-a", "south-b", "west-a" };

	private static final ObjectMapper JSON = new ObjectMapper();

	private final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

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
		return new EntryClient(this.http, address("entry-" + entry));
	}

	/**
	 * Sets the faults of a stand-in.
	 * @param name name of the process
	 * @param document faults as JSON
	 * @throws Exception if the stand-in does not answer
	 */
	public void faults(String name, String document) throws Exception {
		send("PUT", address(name), "/admin/faults", document, "");
	}

	/**
	 * Reads from a process.
	 * @param name name of the process
	 * @param path path of the resource
	 * @return the body
	 * @throws Exception if the process does not answer with a success
	 */
	public String read(String name, String path) throws Exception {
		return send("GET", address(name), path, null, BOOTSTRAP_KEY);
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
				() -> JSON.readTree(read("entry-" + entry, "/v1/status")).path("configuration").asLong() >= expected
						&& read("entry-" + entry, "/readyz").contains("ready"));
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
		ObjectNode node = JSON.createObjectNode();
		node.put("submission", submission);
		node.put("baseVersion", this.version);
		node.put("part", part);
		node.put("document", document);
		String key = submission.startsWith("start-") ? BOOTSTRAP_KEY : part + "-operator";
		String answer = send("POST", address("entry-" + entry), "/v1/configuration", node.toString(), key);
		this.version = JSON.readTree(answer).get("version").asLong();
		return this.version;
	}

	/**
	 * Returns the document of a club.
	 * @param club the club
	 * @param maxTokens largest reply of its pipeline
	 * @return the text
	 */
	public String clubDocument(String club, int maxTokens) {
		return declaration(maxTokens).print(club);
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
		Federation declaration = declaration(this.plan.maxTokens());
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

	private int engines() {
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
		List<ServerSocket> sockets = new ArrayList<>();
		for (String name : names) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			sockets.add(socket);
			this.addresses.put(name, new Address("127.0.0.1", socket.getLocalPort()));
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
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
		node.put("dataCentre", PLACES[entry % PLACES.length]);
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

	private Federation declaration(int maxTokens) {
		Federation federation = Federation.declare().share("pavio", 50).share("klokhuis", 50);
		for (String place : PLACES) {
			federation.dataCentre(place, "south");
		}
		for (String from : PLACES) {
			for (String to : PLACES) {
				if (from.compareTo(to) <= 0) {
					federation.link(from, to, Duration.ofNanos(100_000), 1_000_000_000L);
				}
			}
		}
		federation.accelerator("kind", this.plan.layersPerSecond(), this.plan.layersPerSecond() * 10)
			.model("m", "1", (model) -> model.layers(LAYERS).activationBytes(8192).kvBytesPerTokenLayer(4096));
		for (int i = 0; i < engines(); i++) {
			int engine = i;
			int first = (i % 2 == 0) ? 0 : LAYERS / 2;
			federation.runner("engine-" + i,
					(runner) -> runner.address(address("engine-" + engine).toString())
						.dataCentre(PLACES[engine / 2 % PLACES.length])
						.accelerator("kind")
						.holds("m", "1", first, first + LAYERS / 2));
		}
		federation.applicationRunner("orders", "orders", "south-a", address("orders").toString());
		return federation.club("pavio", (part) -> {
			club(part, "pavio", maxTokens);
			part.application("orders",
					(application) -> application.callers("shop").atMostOnce("place").idempotent("status"));
		}).club("klokhuis", (part) -> club(part, "klokhuis", maxTokens));
	}

	private static void club(ClubDeclaration part, String club, int maxTokens) {
		part.team("shops", 1)
			.caller("shop", "shops", KeyDigest.of(club + "-shop"))
			.operator("operator", KeyDigest.of(club + "-operator"))
			.pipeline(club + "-notes", (pipeline) -> pipeline.model("m", "1").maxTokens(maxTokens).callers("shop"));
	}

	private String send(String method, Address address, String path, String body, String key) throws Exception {
		HttpRequest.BodyPublisher publisher = (body != null) ? HttpRequest.BodyPublishers.ofString(body)
				: HttpRequest.BodyPublishers.noBody();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(Duration.ofSeconds(15))
			.header("authorization", "Bearer " + key)
			.method(method, publisher)
			.build();
		HttpResponse<String> response = this.http.send(request, HttpResponse.BodyHandlers.ofString());
		if (response.statusCode() >= 300) {
			throw new IOException(method + " " + path + " answered " + response.statusCode() + ": " + response.body());
		}
		return response.body();
	}

	private void await(String name, Condition condition) throws Exception {
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
			Thread.sleep(50);
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
	private interface Condition {

		boolean holds() throws Exception;

	}

}
