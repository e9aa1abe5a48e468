package io.bilberryvalve.verification.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.model.EventId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What the engines executed for one reply. The counts of an engine that is killed are
 * read before, because they end with the process.
 */
final class LayerExecutions {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Map<String, List<Range>> engines = new LinkedHashMap<>();

	private final LocalFederation federation;

	LayerExecutions(LocalFederation federation) {
		this.federation = federation;
	}

	/**
	 * Reads the counts of an engine, in place of counts of it read before.
	 * @param engine name of the engine
	 * @param position a position in the reply
	 * @throws Exception if the engine does not answer
	 */
	void read(String engine, EventId position) throws Exception {
		JsonNode report = JSON.readTree(this.federation.read(engine, "/admin/executions?stream=" + position.request()));
		assertThat(report.get("dropped").asLong()).isZero();
		List<Range> ranges = new ArrayList<>();
		report.get("executions").forEach((item) -> ranges.add(Range.of(item)));
		this.engines.put(engine, ranges);
	}

	/**
	 * Reads the counts of each engine whose counts are not known.
	 * @param position a position in the reply
	 * @throws Exception if an engine does not answer
	 */
	void readOthers(EventId position) throws Exception {
		for (int i = 0; i < this.federation.engines(); i++) {
			if (!this.engines.containsKey("engine-" + i)) {
				read("engine-" + i, position);
			}
		}
	}

	/**
	 * Returns the engines that executed something for the reply.
	 * @return the names
	 */
	List<String> used() {
		return this.engines.keySet().stream().filter((name) -> !this.engines.get(name).isEmpty()).toList();
	}

	/**
	 * Requires that each layer ran once for each token, in the epoch that delivered it.
	 * @param delivered positions of the delivered tokens
	 */
	void assertOnce(List<EventId> delivered) {
		for (EventId token : delivered) {
			int next = 0;
			for (Range range : ranges(token)) {
				assertThat(range.first).as("first layer of the next range of %s in %s", token, this.engines)
					.isEqualTo(next);
				assertThat(range.count).as("executions for %s", token).isEqualTo(1);
				next = range.end;
			}
			assertThat(next).as("end of the layers of %s", token).isEqualTo(LocalFederation.LAYERS);
		}
	}

	private List<Range> ranges(EventId token) {
		return this.engines.values()
			.stream()
			.flatMap(List::stream)
			.filter((range) -> range.epoch == token.epoch() && range.index == token.index())
			.sorted(Comparator.comparingInt(Range::first))
			.toList();
	}

	private record Range(int epoch, int index, int first, int end, int count) {

		static Range of(JsonNode item) {
			return new Range(item.get("epoch").asInt(), item.get("index").asInt(), item.get("first").asInt(),
					item.get("end").asInt(), item.get("count").asInt());
		}

	}

}
