package io.bilberryvalve.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.bilberryvalve.model.Address;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsFileTests {

	private static final Path DIRECTORY = Path.of("settings");

	private static final String TEXT = """
			{
			  // where the daemon runs
			  "vm": "pav-1", "region": "south", "dataCentre": "south-a",
			  "callerAddress": "127.0.0.1:8001",
			  "peerAddress": "127.0.0.1:8101",
			  "platform": {"tables": "127.0.0.1:9100", "objects": "127.0.0.1:9101", "vmList": "127.0.0.1:9102"},
			  "federationSecretFile": "federation.secret", /* shared */
			  "seedPeers": ["127.0.0.1:8102"],
			  "limits": {"teamQueue": 8}
			}
			""";

	// Guards against settings that are read into the wrong field and against lost
	// defaults.
	@Example
	void readsSettingsWithCommentsAndDefaults() {
		DaemonSettings settings = parse(TEXT).orThrow();
		assertThat(settings.peerAddress()).isEqualTo(Address.parse("127.0.0.1:8101"));
		assertThat(settings.platform().vmList()).isEqualTo(Address.parse("127.0.0.1:9102"));
		assertThat(settings.federationSecretFile()).isEqualTo(DIRECTORY.resolve("federation.secret"));
		assertThat(settings.bootstrapOperatorDigest()).isNull();
		assertThat(settings.entryListTtl()).isEqualTo(Duration.ofSeconds(5));
		assertThat(settings.limits().teamQueue()).isEqualTo(8);
		assertThat(settings.limits().bodyBytes()).isEqualTo(1 << 20);
	}

	// Guards against a report that stops at the first error and against wrong places.
	@Example
	void reportsEveryErrorWithItsPlace() {
		String text = TEXT.replace("\"pav-1\"", "\"PAV\"")
			.replace("\"region\": \"south\", ", "")
			.replace("\"callerAddress\"", "\"callersAddress\"")
			.replace("\"127.0.0.1:8101\"", "8101")
			.replace("\"teamQueue\": 8", "\"teamQueue\": 0");
		List<Finding> findings = parse(text).findings();
		assertThat(findings).extracting(Finding::path)
			.containsExactly("region", "callerAddress", "vm", "callersAddress", "peerAddress", "limits.teamQueue");
		assertThat(findings).filteredOn((finding) -> finding.path().equals("limits.teamQueue"))
			.first()
			.hasToString("pav-1.json:9:27: limits.teamQueue: the value 0 is out of range; use 1 to 1000000");
		assertThat(findings).allSatisfy((finding) -> assertThat(finding.remedy()).isNotBlank());
	}

	// Guards against a key whose second value silently replaces the first.
	@Example
	void reportsDuplicateKeys() {
		Finding finding = parse(TEXT.replace("\"vm\"", "\"vm\": \"pav-2\",\n\"vm\"")).findings().get(0);
		assertThat(finding.message()).contains("also stands in line 3");
		assertThat(finding.position()).isEqualTo(new Position(4, 1));
	}

	// Guards against a missing file that ends the daemon with a stack trace.
	@Example
	void reportsUnreadableFiles() {
		assertThat(SettingsFile.read(Path.of("absent", "pav-1.json")).findings()).singleElement()
			.extracting(Finding::remedy)
			.isEqualTo("name a readable settings file with --settings");
	}

	// Guards against exceptions on texts that are not JSON at all.
	@Property(seed = "21")
	void reportsAnyTextWithoutException(@ForAll String text) {
		assertThat(parse(text).findings()).isNotEmpty();
	}

	// Guards against exceptions and silent acceptance of texts that are nearly valid.
	@Property(seed = "22")
	void answersDamagedTextsWithoutException(@ForAll @IntRange(max = 388) int at, @ForAll char replacement) {
		String text = TEXT.substring(0, at) + replacement + TEXT.substring(at + 1);
		Parsed<DaemonSettings> parsed = parse(text);
		assertThat(parsed instanceof Parsed.Valid).isEqualTo(parsed.findings().isEmpty());
	}

	private static Parsed<DaemonSettings> parse(String text) {
		return SettingsFile.parse("pav-1.json", text, DIRECTORY);
	}

}
