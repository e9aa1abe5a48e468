package io.bilberryvalve.config;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.TeamId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationDocumentProperties {

	// Guards against a canonical form that loses or reorders content when read again.
	@Example
	void readsItsOwnCanonicalText() {
		for (String text : List.of(Texts.FEDERATION, Texts.PAVIO, Texts.KLOKHUIS)) {
			ConfigurationDocument document = Texts.document(text);
			ConfigurationDocument again = Texts.document(document.canonicalText());
			assertThat(again.canonicalText()).isEqualTo(document.canonicalText());
			assertThat(again.digest()).isEqualTo(document.digest());
			assertThat(ConfigurationDiff.between(document.part(), again.part()).changes()).isEmpty();
		}
	}

	// Guards against a digest that depends on layout, comments, the order of entries or
	// the spelling of numbers.
	@Example
	void ignoresLayoutAndOrder() {
		String shuffled = Texts.PAVIO.replace(
				"{\"team\": \"shops\", \"weight\": 2}, {\"team\": \"support\", \"weight\": 1}",
				"{\"weight\": 1.0, \"team\": \"support\"}, // small\n {\"team\": \"shops\", \"weight\": 2e0}");
		assertThat(shuffled).isNotEqualTo(Texts.PAVIO);
		assertThat(Texts.document(shuffled)).isEqualTo(Texts.document(Texts.PAVIO));
	}

	// Guards against a layout in which a small change moves many lines.
	@Example
	void changesOneLineForOneChangedEntry() {
		List<String> before = Texts.document(Texts.FEDERATION).canonicalText().lines().toList();
		List<String> after = Texts
			.document(Texts.FEDERATION.replace("\"latencyMicros\": 250", "\"latencyMicros\": 300"))
			.canonicalText()
			.lines()
			.toList();
		assertThat(after).hasSameSizeAs(before);
		assertThat(after).filteredOn((line) -> !before.contains(line))
			.containsExactly("    {\"from\": \"south-a\", \"to\": \"south-b\", \"latencyMicros\": 300, "
					+ "\"bytesPerSecond\": 1250000000}");
	}

	// Guards against a reader that stops at the first error or loses its place.
	@Example
	void reportsEveryErrorOfAPart() {
		String text = Texts.FEDERATION.replace("\"first\": 12, \"end\": 24", "\"first\": 24, \"end\": 12")
			.replace("\"percent\": 60", "\"percent\": 0")
			.replace("\"checksKeys\": true", "\"checksKeys\": \"yes\", \"weight\": 1")
			.replace("\"latencyMicros\": 250", "\"latencyMicros\": 0.5");
		assertThat(ConfigurationDocument.parse("test.json", text).findings()).extracting(Finding::toString)
			.containsExactly(
					"test.json:3:43: shares[0].percent: the value 0 is out of range; use a value above 0, at most 100",
					"test.json:10:67: links[0].latencyMicros: the value is 0.5; write an integer from 0 to 60000000",
					"test.json:15:5: runners[1]: layer range [24, 12) is empty or negative; use 0 <= first < end",
					"test.json:19:44: applicationRunners[0].checksKeys: the value is a string; write true or false",
					"test.json:19:51: applicationRunners[0].weight: the key is not known; "
							+ "use one of runner, address, dataCentre, application, checksKeys");
	}

	// Guards against a diff that misses or invents changes.
	@Example
	void namesTheDifferences() throws JsonProcessingException {
		String changed = Texts.PAVIO.replace("\"weight\": 2", "\"weight\": 3")
			.replace("\"adapter\": \"orders\",", "")
			.replace("{\"operator\": \"inez\"", "{\"operator\": \"rui\"");
		ConfigurationDiff diff = ConfigurationDiff.between(Texts.document(Texts.PAVIO).part(),
				Texts.document(changed).part());
		assertThat(diff.lines()).containsExactly("~ teams[shops].weight: 2 -> 3",
				"- operators[inez]: {\"operator\": \"inez\", \"keyDigest\": \"" + KeyDigest.of("inez key") + "\"}",
				"+ operators[rui]: {\"operator\": \"rui\", \"keyDigest\": \"" + KeyDigest.of("inez key") + "\"}",
				"- pipelines[refills].adapter: \"orders\"");
		assertThat(new ObjectMapper().readTree(diff.json()).at("/changes/0/after").asText()).isEqualTo("3");
	}

	// Guards against numbers that change on their way through the canonical text.
	@Property(seed = "33")
	void keepsNumbers(@ForAll @DoubleRange(min = 0, minIncluded = false, max = 1_000_000) double weight,
			@ForAll @LongRange(min = 0, max = 60_000_000) long micros,
			@ForAll @LongRange(min = 1, max = 1_000_000_000_000_000L) long bandwidth) {
		ClubId club = new ClubId("pavio");
		ClubPart part = new ClubPart(club, List.of(new ClubPart.Team(new TeamId("shops"), weight)), List.of(),
				List.of(), List.of(), List.of());
		assertThat(Texts.document(ConfigurationDocument.of(part).canonicalText()).part()).isEqualTo(part);
		DataCentreId centre = new DataCentreId("south-a");
		Link link = new Link(centre, centre, Duration.of(micros, ChronoUnit.MICROS), bandwidth);
		FederationPart federation = new FederationPart(List.of(), List.of(), List.of(), List.of(), List.of(link),
				List.of(), List.of());
		assertThat(Texts.document(ConfigurationDocument.of(federation).canonicalText()).part()).isEqualTo(federation);
	}

	// Guards against any other exception on input from operators.
	@Property(seed = "31")
	void reportsAnyTextWithoutException(@ForAll String text) {
		assertThat(ConfigurationDocument.parse("any", text).findings()).isNotEmpty();
	}

	// Guards against exceptions on nearly valid texts, and against a damaged text that is
	// accepted but does not survive its own canonical form.
	@Property(seed = "32")
	void answersDamagedTextsWithoutException(@ForAll @IntRange(max = 600) int at, @ForAll @IntRange(max = 9) int cut,
			@ForAll char inserted) {
		String text = Texts.PAVIO.substring(0, at) + inserted + Texts.PAVIO.substring(at + cut);
		if (ConfigurationDocument.parse("damaged", text) instanceof Parsed.Valid<ConfigurationDocument> valid) {
			assertThat(Texts.document(valid.value().canonicalText())).isEqualTo(valid.value());
		}
	}

	// Guards against a stack overflow on deeply nested input.
	@Example
	void refusesDeepNesting() {
		String text = "{\"part\": " + "[".repeat(100_000);
		assertThat(ConfigurationDocument.parse("deep", text).findings()).singleElement()
			.extracting(Finding::remedy)
			.isEqualTo("correct the JSON syntax at this place");
	}

}
