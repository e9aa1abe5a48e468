package io.bilberryvalve.config;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Optional;

import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.OperationId;
import io.bilberryvalve.model.OperatorId;
import io.bilberryvalve.model.PipelineId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.TeamId;

/**
 * Reads a part of the configuration from a JSON object.
 */
final class PartReader {

	/** Layers of the largest model that a document may declare. */
	static final int MAX_LAYERS = 10_000;

	/** Tokens of the longest reply that a pipeline may declare. */
	static final int MAX_TOKENS = 10_000_000;

	/** Largest size, bandwidth or speed, in bytes, bytes a second or layers a second. */
	static final long MAX_QUANTITY = 1_000_000_000_000_000L;

	/** Largest weight of a team. */
	static final long MAX_WEIGHT = 1_000_000;

	/** Largest share of a club in percent. */
	static final long MAX_PERCENT = 100;

	/** Longest one-way latency of a link, in microseconds: one minute. */
	static final long MAX_LATENCY_MICROS = 60_000_000;

	private PartReader() {
	}

	static Value<ConfigurationPart> part(Fields fields) {
		Value<String> name = fields.text("part", PartReader::name);
		if (!name.isValid()) {
			return Value.failed();
		}
		return name.get().equals(ConfigurationPart.FEDERATION) ? federation(fields)
				: club(fields, new ClubId(name.get()));
	}

	private static String name(String text) {
		return new ClubId(text).value();
	}

	private static Value<ConfigurationPart> federation(Fields fields) {
		Value<List<FederationPart.ClubShare>> shares = fields.objects("shares", PartReader::share);
		Value<List<FederationPart.DataCentre>> centres = fields.objects("dataCentres", PartReader::dataCentre);
		Value<List<FederationPart.ModelSpec>> models = fields.objects("models", PartReader::modelSpec);
		Value<List<FederationPart.AcceleratorSpec>> kinds = fields.objects("accelerators", PartReader::accelerator);
		Value<List<Link>> links = fields.objects("links", PartReader::link);
		Value<List<Runner>> runners = fields.objects("runners", PartReader::runner);
		Value<List<ApplicationRunner>> applications = fields.objects("applicationRunners",
				PartReader::applicationRunner);
		return fields.build(() -> new FederationPart(shares.get(), centres.get(), models.get(), kinds.get(),
				links.get(), runners.get(), applications.get()));
	}

	private static Value<FederationPart.ClubShare> share(Fields fields) {
		Value<ClubId> club = fields.text("club", ClubId::new);
		Value<Double> percent = fields.positive("percent", MAX_PERCENT);
		return fields.build(() -> new FederationPart.ClubShare(club.get(), percent.get()));
	}

	private static Value<FederationPart.DataCentre> dataCentre(Fields fields) {
		Value<DataCentreId> dataCentre = fields.text("dataCentre", DataCentreId::new);
		Value<RegionId> region = fields.text("region", RegionId::new);
		return fields.build(() -> new FederationPart.DataCentre(dataCentre.get(), region.get()));
	}

	private static Value<FederationPart.ModelSpec> modelSpec(Fields fields) {
		Value<ModelId> model = fields.text("model", ModelId::new);
		Value<String> version = fields.text("version", Labels::check);
		Value<Integer> layers = fields.whole("layers", 1, MAX_LAYERS).map(Math::toIntExact);
		Value<Long> activation = fields.whole("activationBytes", 1, MAX_QUANTITY);
		Value<Long> kv = fields.whole("kvBytesPerTokenLayer", 1, MAX_QUANTITY);
		Value<List<String>> adapters = fields.texts("adapters", Labels::check);
		return fields.build(() -> new FederationPart.ModelSpec(new ModelVersion(model.get(), version.get()),
				layers.get(), activation.get(), kv.get(), adapters.get()));
	}

	private static Value<FederationPart.AcceleratorSpec> accelerator(Fields fields) {
		Value<AcceleratorKind> kind = fields.text("kind", AcceleratorKind::new);
		Value<Double> decode = fields.positive("decodeLayersPerSecond", MAX_QUANTITY);
		Value<Double> prefill = fields.positive("prefillLayersPerSecond", MAX_QUANTITY);
		return fields.build(() -> new FederationPart.AcceleratorSpec(kind.get(), decode.get(), prefill.get()));
	}

	private static Value<Link> link(Fields fields) {
		Value<DataCentreId> from = fields.text("from", DataCentreId::new);
		Value<DataCentreId> to = fields.text("to", DataCentreId::new);
		Value<Duration> latency = fields.whole("latencyMicros", 0, MAX_LATENCY_MICROS)
			.map((micros) -> Duration.of(micros, ChronoUnit.MICROS));
		Value<Long> bandwidth = fields.whole("bytesPerSecond", 1, MAX_QUANTITY);
		return fields.build(() -> new Link(from.get(), to.get(), latency.get(), bandwidth.get()));
	}

	private static Value<Runner> runner(Fields fields) {
		Value<RunnerId> id = fields.text("runner", RunnerId::new);
		Value<Address> address = fields.text("address", Address::parse);
		Value<DataCentreId> dataCentre = fields.text("dataCentre", DataCentreId::new);
		Value<AcceleratorKind> kind = fields.text("kind", AcceleratorKind::new);
		Value<ModelId> model = fields.text("model", ModelId::new);
		Value<String> version = fields.text("version", Labels::check);
		Value<Integer> first = fields.whole("first", 0, MAX_LAYERS).map(Math::toIntExact);
		Value<Integer> end = fields.whole("end", 1, MAX_LAYERS).map(Math::toIntExact);
		Value<Boolean> fencing = fields.flag("checksFencing");
		Value<Optional<String>> adapter = fields.optionalText("adapter", Labels::check);
		return fields.build(() -> new Runner(id.get(), address.get(), dataCentre.get(), kind.get(),
				new ModelVersion(model.get(), version.get()), new LayerRange(first.get(), end.get()), fencing.get(),
				adapter.get().orElse(null)));
	}

	private static Value<ApplicationRunner> applicationRunner(Fields fields) {
		Value<RunnerId> id = fields.text("runner", RunnerId::new);
		Value<Address> address = fields.text("address", Address::parse);
		Value<DataCentreId> dataCentre = fields.text("dataCentre", DataCentreId::new);
		Value<ApplicationId> application = fields.text("application", ApplicationId::new);
		Value<Boolean> checksKeys = fields.flag("checksKeys");
		return fields.build(() -> new ApplicationRunner(id.get(), address.get(), dataCentre.get(), application.get(),
				checksKeys.get()));
	}

	private static Value<ConfigurationPart> club(Fields fields, ClubId club) {
		Value<List<ClubPart.Team>> teams = fields.objects("teams", PartReader::team);
		Value<List<ClubPart.Caller>> callers = fields.objects("callers", PartReader::caller);
		Value<List<ClubPart.Operator>> operators = fields.objects("operators", PartReader::operator);
		Value<List<ClubPart.Pipeline>> pipelines = fields.objects("pipelines", PartReader::pipeline);
		Value<List<ClubPart.Application>> applications = fields.objects("applications", PartReader::application);
		return fields.build(() -> new ClubPart(club, teams.get(), callers.get(), operators.get(), pipelines.get(),
				applications.get()));
	}

	private static Value<ClubPart.Team> team(Fields fields) {
		Value<TeamId> team = fields.text("team", TeamId::new);
		Value<Double> weight = fields.positive("weight", MAX_WEIGHT);
		return fields.build(() -> new ClubPart.Team(team.get(), weight.get()));
	}

	private static Value<ClubPart.Caller> caller(Fields fields) {
		Value<CallerId> caller = fields.text("caller", CallerId::new);
		Value<TeamId> team = fields.text("team", TeamId::new);
		Value<String> digest = fields.text("keyDigest", KeyDigest::check);
		return fields.build(() -> new ClubPart.Caller(caller.get(), team.get(), digest.get()));
	}

	private static Value<ClubPart.Operator> operator(Fields fields) {
		Value<OperatorId> operator = fields.text("operator", OperatorId::new);
		Value<String> digest = fields.text("keyDigest", KeyDigest::check);
		return fields.build(() -> new ClubPart.Operator(operator.get(), digest.get()));
	}

	private static Value<ClubPart.Pipeline> pipeline(Fields fields) {
		Value<PipelineId> pipeline = fields.text("pipeline", PipelineId::new);
		Value<ModelId> model = fields.text("model", ModelId::new);
		Value<String> version = fields.text("version", Labels::check);
		Value<Optional<String>> adapter = fields.optionalText("adapter", Labels::check);
		Value<Integer> maxTokens = fields.whole("maxTokens", 1, MAX_TOKENS).map(Math::toIntExact);
		Value<List<CallerId>> callers = fields.texts("callers", CallerId::new);
		return fields.build(() -> new ClubPart.Pipeline(pipeline.get(), new ModelVersion(model.get(), version.get()),
				adapter.get().orElse(null), callers.get(), maxTokens.get()));
	}

	private static Value<ClubPart.Application> application(Fields fields) {
		Value<ApplicationId> application = fields.text("application", ApplicationId::new);
		Value<List<CallerId>> callers = fields.texts("callers", CallerId::new);
		Value<List<ClubPart.Operation>> operations = fields.objects("operations", PartReader::operation);
		return fields.build(() -> new ClubPart.Application(application.get(), callers.get(), operations.get()));
	}

	private static Value<ClubPart.Operation> operation(Fields fields) {
		Value<OperationId> operation = fields.text("operation", OperationId::new);
		Value<Boolean> idempotent = fields.flag("idempotent");
		return fields.build(() -> new ClubPart.Operation(operation.get(), idempotent.get()));
	}

}
