package io.bilberryvalve.config;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import org.jspecify.annotations.Nullable;

/**
 * Writes a part of the configuration as a JSON object whose keys have a fixed order and
 * whose lists are sorted.
 */
final class PartWriter {

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private static final int NANOS_PER_MICRO = 1000;

	/** Above this value, consecutive integers are not all doubles. */
	private static final double MAX_EXACT_INTEGER = 1L << 53;

	private PartWriter() {
	}

	static ObjectNode part(ConfigurationPart part) {
		ObjectNode node = NODES.objectNode().put("part", part.name());
		if (part instanceof FederationPart federation) {
			federation(node, federation);
		}
		else {
			club(node, (ClubPart) part);
		}
		return node;
	}

	private static void federation(ObjectNode node, FederationPart part) {
		node.set("shares", list(part.shares(), PartWriter::share));
		node.set("dataCentres", list(part.dataCentres(), (child,
				centre) -> child.put("dataCentre", text(centre.dataCentre())).put("region", text(centre.region()))));
		node.set("models", list(part.models(), PartWriter::modelSpec));
		node.set("accelerators", list(part.accelerators(), PartWriter::accelerator));
		node.set("links", list(part.links(), PartWriter::link));
		node.set("runners", list(part.runners(), PartWriter::runner));
		node.set("applicationRunners", list(part.applicationRunners(), PartWriter::applicationRunner));
	}

	private static void club(ObjectNode node, ClubPart part) {
		node.set("teams", list(part.teams(), PartWriter::team));
		node.set("callers",
				list(part.callers(),
						(child, caller) -> child.put("caller", text(caller.caller()))
							.put("team", text(caller.team()))
							.put("keyDigest", caller.keyDigest())));
		node.set("operators", list(part.operators(), (child,
				operator) -> child.put("operator", text(operator.operator())).put("keyDigest", operator.keyDigest())));
		node.set("pipelines", list(part.pipelines(), PartWriter::pipeline));
		node.set("applications", list(part.applications(), PartWriter::application));
	}

	private static void share(ObjectNode node, FederationPart.ClubShare share) {
		node.put("club", text(share.club()));
		node.set("percent", number(share.percent()));
	}

	private static void modelSpec(ObjectNode node, FederationPart.ModelSpec spec) {
		model(node, spec.model());
		node.put("layers", spec.layers());
		node.put("activationBytes", spec.activationBytes());
		node.put("kvBytesPerTokenLayer", spec.kvBytesPerTokenLayer());
		node.set("adapters", texts(spec.adapters()));
	}

	private static void accelerator(ObjectNode node, FederationPart.AcceleratorSpec spec) {
		node.put("kind", text(spec.kind()));
		node.set("decodeLayersPerSecond", number(spec.decodeLayersPerSecond()));
		node.set("prefillLayersPerSecond", number(spec.prefillLayersPerSecond()));
	}

	private static void link(ObjectNode node, Link link) {
		node.put("from", text(link.from())).put("to", text(link.to()));
		node.put("latencyMicros", micros(link.latency())).put("bytesPerSecond", link.bytesPerSecond());
	}

	private static void runner(ObjectNode node, Runner runner) {
		node.put("runner", text(runner.id())).put("address", text(runner.address()));
		node.put("dataCentre", text(runner.dataCentre())).put("kind", text(runner.kind()));
		model(node, runner.model());
		node.put("first", runner.layers().first()).put("end", runner.layers().end());
		node.put("checksFencing", runner.checksFencing());
		adapter(node, runner.adapter());
	}

	private static void applicationRunner(ObjectNode node, ApplicationRunner runner) {
		node.put("runner", text(runner.id())).put("address", text(runner.address()));
		node.put("dataCentre", text(runner.dataCentre())).put("application", text(runner.application()));
		node.put("checksKeys", runner.checksKeys());
	}

	private static void team(ObjectNode node, ClubPart.Team team) {
		node.put("team", text(team.team()));
		node.set("weight", number(team.weight()));
	}

	private static void pipeline(ObjectNode node, ClubPart.Pipeline pipeline) {
		node.put("pipeline", text(pipeline.pipeline()));
		model(node, pipeline.model());
		adapter(node, pipeline.adapter());
		node.put("maxTokens", pipeline.maxTokens());
		node.set("callers", texts(pipeline.callers()));
	}

	private static void application(ObjectNode node, ClubPart.Application application) {
		node.put("application", text(application.application()));
		node.set("callers", texts(application.callers()));
		node.set("operations",
				list(application.operations(), (child, operation) -> child.put("operation", text(operation.operation()))
					.put("idempotent", operation.idempotent())));
	}

	private static void model(ObjectNode node, ModelVersion model) {
		node.put("model", text(model.model())).put("version", model.version());
	}

	private static void adapter(ObjectNode node, @Nullable String adapter) {
		if (adapter != null) {
			node.put("adapter", adapter);
		}
	}

	private static long micros(Duration latency) {
		if (latency.toNanos() % NANOS_PER_MICRO != 0) {
			throw new IllegalArgumentException(
					"latency " + latency + " is not a whole number of microseconds; round the latency");
		}
		return latency.toNanos() / NANOS_PER_MICRO;
	}

	private static JsonNode number(double value) {
		boolean integer = value == Math.rint(value) && Math.abs(value) < MAX_EXACT_INTEGER;
		return integer ? NODES.numberNode((long) value) : NODES.numberNode(value);
	}

	private static String text(Object value) {
		return value.toString();
	}

	private static ArrayNode texts(Collection<?> values) {
		List<JsonNode> nodes = values.stream()
			.map(Object::toString)
			.sorted()
			.<JsonNode>map(NODES::textNode)
			.collect(Collectors.toList());
		return NODES.arrayNode().addAll(nodes);
	}

	private static <T> ArrayNode list(List<T> values, BiConsumer<ObjectNode, T> write) {
		ArrayNode nodes = NODES.arrayNode();
		for (T value : values) {
			write.accept(nodes.addObject(), value);
		}
		List<JsonNode> sorted = StreamSupport.stream(nodes.spliterator(), false)
			.sorted(Comparator.comparing(JsonNode::toString))
			.toList();
		return NODES.arrayNode().addAll(sorted);
	}

}
