package io.bilberryvalve.operators;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import io.bilberryvalve.config.CheckReport;
import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.ConfigurationCheck;
import io.bilberryvalve.config.ConfigurationDocument;
import io.bilberryvalve.config.ConfigurationPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;

/**
 * Declares the configuration of a federation and prints the documents that operators
 * submit. Arguments are checked where they enter; references within a part must be
 * declared before they are used. A club's operators declare only their own part.
 *
 * <pre>{@code
 * String document = Federation.declare()
 *     .club("pavio", (club) -> club
 *         .team("shops", 2)
 *         .caller("till", "shops", digestOfTheTillKey)
 *         .pipeline("refills", (pipeline) -> pipeline.model("wick", "2").maxTokens(256).callers("till")))
 *     .print("pavio");
 * }</pre>
 */
public final class Federation {

	private static final double MAX_PERCENT = 100;

	private final Map<ClubId, FederationPart.ClubShare> shares = new LinkedHashMap<>();

	private final Map<DataCentreId, FederationPart.DataCentre> dataCentres = new LinkedHashMap<>();

	private final Map<ModelVersion, FederationPart.ModelSpec> models = new LinkedHashMap<>();

	private final Map<AcceleratorKind, FederationPart.AcceleratorSpec> accelerators = new LinkedHashMap<>();

	private final Map<Set<DataCentreId>, Link> links = new LinkedHashMap<>();

	private final Map<RunnerId, Runner> runners = new LinkedHashMap<>();

	private final Map<RunnerId, ApplicationRunner> applicationRunners = new LinkedHashMap<>();

	private final Map<ClubId, ClubPart> clubs = new TreeMap<>();

	private Federation() {
	}

	/**
	 * Starts a declaration.
	 * @return a declaration without entries
	 */
	public static Federation declare() {
		return new Federation();
	}

	/**
	 * Gives a club a share of the accelerator budget.
	 * @param club the club
	 * @param percent guaranteed share in percent, above 0; all shares sum to at most 100
	 * @return this declaration
	 * @throws IllegalArgumentException if the club is malformed or declared twice or the
	 * shares exceed 100 percent
	 */
	public Federation share(String club, double percent) {
		double given = this.shares.values().stream().mapToDouble(FederationPart.ClubShare::percent).sum();
		if (given + Arguments.positive("percent", percent) > MAX_PERCENT) {
			throw new IllegalArgumentException("share " + percent + " of club " + club + " exceeds the "
					+ (MAX_PERCENT - given) + " percent that are left; lower the shares");
		}
		ClubId id = new ClubId(club);
		Arguments.add(this.shares, id, new FederationPart.ClubShare(id, percent), "share of club");
		return this;
	}

	/**
	 * Adds a data centre.
	 * @param name the data centre
	 * @param region its region
	 * @return this declaration
	 * @throws IllegalArgumentException if a name is malformed or the data centre is
	 * declared twice
	 */
	public Federation dataCentre(String name, String region) {
		DataCentreId id = new DataCentreId(name);
		Arguments.add(this.dataCentres, id, new FederationPart.DataCentre(id, new RegionId(region)), "data centre");
		return this;
	}

	/**
	 * Adds a model version.
	 * @param name the model
	 * @param version its version
	 * @param declare states its layers, sizes and adapters
	 * @return this declaration
	 * @throws IllegalArgumentException if a name is malformed, or the version is declared
	 * twice or incomplete
	 */
	public Federation model(String name, String version, Consumer<ModelDeclaration> declare) {
		ModelDeclaration declaration = new ModelDeclaration(name, version);
		declare.accept(declaration);
		Arguments.add(this.models, declaration.model(), declaration.build(), "model");
		return this;
	}

	/**
	 * Adds a kind of accelerator.
	 * @param kind the kind
	 * @param decodeLayersPerSecond layers computed a second for one token in the decode
	 * phase, above 0
	 * @param prefillLayersPerSecond layers computed a second, summed over prompt tokens,
	 * above 0
	 * @return this declaration
	 * @throws IllegalArgumentException if the kind is malformed or declared twice or a
	 * speed is not positive
	 */
	public Federation accelerator(String kind, double decodeLayersPerSecond, double prefillLayersPerSecond) {
		AcceleratorKind id = new AcceleratorKind(kind);
		Arguments.add(this.accelerators, id,
				new FederationPart.AcceleratorSpec(id,
						Arguments.positive("decodeLayersPerSecond", decodeLayersPerSecond),
						Arguments.positive("prefillLayersPerSecond", prefillLayersPerSecond)),
				"accelerator");
		return this;
	}

	/**
	 * Adds a link, valid in both directions.
	 * @param from a data centre declared before
	 * @param to a data centre declared before; may equal the first for the network within
	 * a data centre
	 * @param latency one-way latency, a whole number of microseconds
	 * @param bytesPerSecond bandwidth available to one transfer, at least 1
	 * @return this declaration
	 * @throws IllegalArgumentException if a data centre is not declared, the link is
	 * declared twice or a number is out of range
	 */
	public Federation link(String from, String to, Duration latency, long bytesPerSecond) {
		Link link = new Link(known(from), known(to), latency, bytesPerSecond);
		Arguments.add(this.links, new TreeSet<>(List.of(link.from(), link.to())), link, "link");
		return this;
	}

	private DataCentreId known(String dataCentre) {
		return Arguments.known(this.dataCentres.keySet(), new DataCentreId(dataCentre), "data centre");
	}

	/**
	 * Adds a model runner.
	 * @param name the runner
	 * @param declare states its address, data centre, accelerator and layers
	 * @return this declaration
	 * @throws IllegalArgumentException if the runner is malformed, declared twice or
	 * incomplete, or names something that is not declared
	 */
	public Federation runner(String name, Consumer<RunnerDeclaration> declare) {
		RunnerDeclaration declaration = new RunnerDeclaration(name);
		declare.accept(declaration);
		Runner runner = declaration.build();
		Arguments.known(this.dataCentres.keySet(), runner.dataCentre(), "data centre");
		Arguments.known(this.accelerators.keySet(), runner.kind(), "accelerator");
		Arguments.known(this.models.keySet(), runner.model(), "model");
		Arguments.add(this.runners, runner.id(), runner, "runner");
		return this;
	}

	/**
	 * Adds an application runner that does not check idempotency keys itself.
	 * @param name the runner
	 * @param application the application that it serves
	 * @param dataCentre a data centre declared before
	 * @param address where the service listens, for example {@code 10.0.0.7:9000}
	 * @return this declaration
	 * @throws IllegalArgumentException if an argument is malformed, the runner is
	 * declared twice or the data centre is not declared
	 */
	public Federation applicationRunner(String name, String application, String dataCentre, String address) {
		return add(name, application, dataCentre, address, false);
	}

	/**
	 * Adds an application runner that executes an idempotency key at most once itself.
	 * @param name the runner
	 * @param application the application that it serves
	 * @param dataCentre a data centre declared before
	 * @param address where the service listens, for example {@code 10.0.0.7:9000}
	 * @return this declaration
	 * @throws IllegalArgumentException if an argument is malformed, the runner is
	 * declared twice or the data centre is not declared
	 */
	public Federation keyCheckingRunner(String name, String application, String dataCentre, String address) {
		return add(name, application, dataCentre, address, true);
	}

	private Federation add(String name, String application, String dataCentre, String address, boolean checksKeys) {
		RunnerId id = new RunnerId(name);
		Arguments.add(this.applicationRunners, id, new ApplicationRunner(id, Address.parse(address), known(dataCentre),
				new ApplicationId(application), checksKeys), "application runner");
		return this;
	}

	/**
	 * Adds the part of a club.
	 * @param name the club
	 * @param declare states its teams, callers, operators, pipelines and applications
	 * @return this declaration
	 * @throws IllegalArgumentException if the club is malformed or declared twice
	 */
	public Federation club(String name, Consumer<ClubDeclaration> declare) {
		ClubId id = new ClubId(name);
		ClubDeclaration declaration = new ClubDeclaration(id);
		declare.accept(declaration);
		Arguments.add(this.clubs, id, declaration.build(), "club");
		return this;
	}

	/**
	 * Returns everything declared so far.
	 * @return the configuration, version 0
	 */
	public FederationConfiguration configuration() {
		FederationPart part = new FederationPart(new ArrayList<>(this.shares.values()),
				new ArrayList<>(this.dataCentres.values()), new ArrayList<>(this.models.values()),
				new ArrayList<>(this.accelerators.values()), new ArrayList<>(this.links.values()),
				new ArrayList<>(this.runners.values()), new ArrayList<>(this.applicationRunners.values()));
		return new FederationConfiguration(0, part, this.clubs);
	}

	/**
	 * Checks the references between all declared parts.
	 * @return the report
	 */
	public CheckReport check() {
		return ConfigurationCheck.check(configuration());
	}

	/**
	 * Prints the canonical document of a part.
	 * @param part {@code federation} or a declared club
	 * @return the document
	 * @throws IllegalArgumentException if the club is not declared
	 */
	public String print(String part) {
		return ConfigurationDocument.of(part(part)).canonicalText();
	}

	private ConfigurationPart part(String part) {
		FederationConfiguration configuration = configuration();
		if (part.equals(ConfigurationPart.FEDERATION)) {
			return configuration.federation();
		}
		ClubId club = Arguments.known(this.clubs.keySet(), new ClubId(part), "club");
		return configuration.clubs().get(club);
	}

	/**
	 * Writes the document of each declared club, and of the federation part if it has
	 * shares, as {@code <part>.json}.
	 * @param directory an existing directory
	 * @return this declaration
	 * @throws IOException if a file cannot be written
	 */
	public Federation write(Path directory) throws IOException {
		if (!this.shares.isEmpty()) {
			write(directory, ConfigurationPart.FEDERATION);
		}
		for (ClubId club : this.clubs.keySet()) {
			write(directory, club.value());
		}
		return this;
	}

	private void write(Path directory, String part) throws IOException {
		Files.writeString(directory.resolve(part + ".json"), print(part));
	}

}
