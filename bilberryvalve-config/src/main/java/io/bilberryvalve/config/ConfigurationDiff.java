package io.bilberryvalve.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * Differences between two versions of a part. Entries of lists are compared by their
 * identifiers, so their order does not matter.
 *
 * @param part name of the part
 * @param changes the differences in the order of the canonical text
 */
public record ConfigurationDiff(String part, List<Change> changes) {

	/** Keys that identify an entry of a list. */
	private static final Map<String, List<String>> IDENTIFIERS = Map.ofEntries(Map.entry("shares", List.of("club")),
			Map.entry("dataCentres", List.of("dataCentre")), Map.entry("models", List.of("model", "version")),
			Map.entry("accelerators", List.of("kind")), Map.entry("links", List.of("from", "to")),
			Map.entry("runners", List.of("runner")), Map.entry("applicationRunners", List.of("runner")),
			Map.entry("teams", List.of("team")), Map.entry("callers", List.of("caller")),
			Map.entry("operators", List.of("operator")), Map.entry("pipelines", List.of("pipeline")),
			Map.entry("applications", List.of("application")));

	/**
	 * Copies the changes.
	 */
	public ConfigurationDiff {
		changes = List.copyOf(changes);
	}

	/**
	 * Compares two versions of a part.
	 * @param before the earlier version, or {@code null} if there was none
	 * @param after the later version
	 * @return the differences
	 * @throws IllegalArgumentException if the versions are of different parts
	 */
	public static ConfigurationDiff between(@Nullable ConfigurationPart before, ConfigurationPart after) {
		ConfigurationPart base = (before != null) ? before : emptyLike(after);
		if (!base.name().equals(after.name())) {
			throw new IllegalArgumentException("parts " + base.name() + " and " + after.name()
					+ " cannot be compared; compare two versions of one part");
		}
		List<Change> changes = new ArrayList<>();
		ObjectNode earlier = PartWriter.part(base);
		for (Map.Entry<String, JsonNode> member : PartWriter.part(after).properties()) {
			if (member.getValue() instanceof ArrayNode list) {
				compareLists(member.getKey(), (ArrayNode) earlier.get(member.getKey()), list, changes);
			}
		}
		return new ConfigurationDiff(after.name(), changes);
	}

	private static ConfigurationPart emptyLike(ConfigurationPart part) {
		return (part instanceof ClubPart club) ? ClubPart.empty(club.club()) : FederationPart.empty();
	}

	private static void compareLists(String list, ArrayNode before, ArrayNode after, List<Change> changes) {
		Map<String, JsonNode> earlier = byIdentifier(list, before);
		Map<String, JsonNode> later = byIdentifier(list, after);
		TreeSet<String> names = new TreeSet<>(earlier.keySet());
		names.addAll(later.keySet());
		for (String name : names) {
			JsonNode old = earlier.get(name);
			JsonNode next = later.get(name);
			if (old != null && next != null) {
				compareEntries(name, old, next, changes);
			}
			else {
				changes.add(new Change(name, line(old), line(next)));
			}
		}
	}

	private static Map<String, JsonNode> byIdentifier(String list, ArrayNode entries) {
		Map<String, JsonNode> byName = new TreeMap<>();
		for (JsonNode entry : entries) {
			String identifier = String.join("/",
					IDENTIFIERS.get(list).stream().map((key) -> entry.get(key).asText()).toList());
			String name = list + "[" + identifier + "]";
			for (int copy = 2; byName.containsKey(name); copy++) {
				name = list + "[" + identifier + "#" + copy + "]";
			}
			byName.put(name, entry);
		}
		return byName;
	}

	private static void compareEntries(String name, JsonNode before, JsonNode after, List<Change> changes) {
		TreeSet<String> keys = new TreeSet<>();
		before.fieldNames().forEachRemaining(keys::add);
		after.fieldNames().forEachRemaining(keys::add);
		for (String key : keys) {
			String old = line(before.get(key));
			String next = line(after.get(key));
			if (!Objects.equals(old, next)) {
				changes.add(new Change(name + "." + key, old, next));
			}
		}
	}

	private static @Nullable String line(@Nullable JsonNode node) {
		return (node != null) ? CanonicalText.line(node) : null;
	}

	/**
	 * Tells whether the versions are the same.
	 * @return whether there are no changes
	 */
	public boolean isEmpty() {
		return this.changes.isEmpty();
	}

	/**
	 * Returns the differences for a reader.
	 * @return one line for each change, starting with {@code +} for an addition,
	 * {@code -} for a removal and {@code ~} for a changed value
	 */
	public List<String> lines() {
		return this.changes.stream().map(Change::toString).toList();
	}

	/**
	 * Returns the differences for a program.
	 * @return a JSON object on one line with the part and its changes; an absent value is
	 * {@code null}
	 */
	public String json() {
		ObjectNode node = JsonNodeFactory.instance.objectNode().put("part", this.part);
		ArrayNode list = node.putArray("changes");
		for (Change change : this.changes) {
			list.addObject().put("path", change.path()).put("before", change.before()).put("after", change.after());
		}
		return CanonicalText.line(node);
	}

	/**
	 * A difference.
	 *
	 * @param path what differs, for example {@code runners[pav-r1].end}
	 * @param before earlier value as JSON, or {@code null} if there was none
	 * @param after later value as JSON, or {@code null} if there is none
	 */
	public record Change(String path, @Nullable String before, @Nullable String after) {

		@Override
		public String toString() {
			if (this.before == null) {
				return "+ " + this.path + ": " + this.after;
			}
			if (this.after == null) {
				return "- " + this.path + ": " + this.before;
			}
			return "~ " + this.path + ": " + this.before + " -> " + this.after;
		}

	}

}
