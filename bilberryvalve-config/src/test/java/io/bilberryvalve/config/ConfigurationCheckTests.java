package io.bilberryvalve.config;

import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Each example damages a valid configuration in one way and guards against the check for
 * this damage being lost.
 */
class ConfigurationCheckTests {

	@Example
	void acceptsAValidConfiguration() {
		CheckReport report = Texts.check(Texts.FEDERATION, Texts.PAVIO, Texts.KLOKHUIS);
		assertThat(report.text()).isEmpty();
		assertThat(report.accepted()).isTrue();
	}

	@Example
	void refusesSharesAboveTheBudget() {
		federation("\"percent\": 40", "\"percent\": 40.5", "federation:3:13: shares: the shares sum to 100.5 percent");
	}

	@Example
	void refusesAClubWithoutShare() {
		federation("{\"club\": \"pavio\", \"percent\": 60}, ", "", "pavio:2:11: part: club pavio has no share");
	}

	@Example
	void refusesUnknownDataCentres() {
		federation("\"to\": \"south-b\"", "\"to\": \"south-c\"", "links[0].to: south-c is not declared");
		federation("9001\", \"dataCentre\": \"south-a\"", "9001\", \"dataCentre\": \"north\"",
				"runners[0].dataCentre: north is not declared");
		federation("9101\", \"dataCentre\": \"south-a\"", "9101\", \"dataCentre\": \"north\"",
				"applicationRunners[0].dataCentre: north is not declared");
	}

	@Example
	void refusesUnknownAcceleratorsModelsAndAdaptersOfRunners() {
		federation("\"dataCentre\": \"south-b\", \"kind\": \"a10\"", "\"dataCentre\": \"south-b\", \"kind\": \"h9\"",
				"runners[1].kind: h9 is not declared");
		federation("true, \"adapter\": \"orders\"", "true, \"adapter\": \"x\"", "runners[0].adapter: x is not declared",
				"no chain of runners covers wick@2 with adapter orders; no such runner holds layers [0, 12)");
		federation("\"model\": \"wick\", \"version\": \"2\", \"first\": 0",
				"\"model\": \"wick\", \"version\": \"3\", \"first\": 0", "runners[0].model: wick@3 is not declared",
				"no such runner holds layers [0, 12)");
	}

	@Example
	void refusesLayersOutsideTheModel() {
		federation("\"end\": 24", "\"end\": 25", "runners[1].end: layers [12, 25) exceed the 24 layers of wick@2");
	}

	@Example
	void refusesModelsThatNoChainCovers() {
		federation("\"end\": 12", "\"end\": 10", "no such runner holds layers [10, 12)");
		federation("\"end\": 24", "\"end\": 20", "no such runner holds layers [20, 24)");
	}

	// Guards against a pipeline whose adapter is on runners that do not form a chain.
	@Example
	void refusesAdaptersThatNoChainHas() {
		federation("true, \"adapter\": \"orders\"", "true",
				"no chain of runners covers wick@2 with adapter orders; no such runner holds layers [0, 12)");
	}

	@Example
	void refusesDuplicateIdentifiers() {
		federation("\"runner\": \"r2\"", "\"runner\": \"r1\"", "runners[1]: r1 also stands at runners[0]");
		federation("\"runner\": \"o1\"", "\"runner\": \"r1\"", "applicationRunners[0]: r1 also stands in runners");
		federation("\"dataCentre\": \"south-b\", \"region\": \"south\"",
				"\"dataCentre\": \"south-a\", \"region\": \"south\"", "dataCentres[1]: south-a also stands",
				"links[0].to: south-b", "runners[1].dataCentre: south-b");
		federation("\"links\": [", "\"links\": [{\"from\": \"south-b\", \"to\": \"south-a\", \"latencyMicros\": 1, "
				+ "\"bytesPerSecond\": 1}, ", "links[1]: [south-a, south-b] also stands at links[0]");
		club("\"team\": \"support\"", "\"team\": \"shops\"", "teams[1]: shops also stands at teams[0]");
		club("\"operation\": \"stock\"", "\"operation\": \"place\"",
				"applications[0].operations[1]: place also stands at");
		club("\"callers\": [\"till\"]}],", "\"callers\": [\"till\", \"till\"]}],",
				"pipelines[0].callers[1]: till also stands");
	}

	@Example
	void refusesTwoRunnersAtOneAddress() {
		federation("127.0.0.1:9002", "127.0.0.1:9001", "runners[1].address: 127.0.0.1:9001 is also the address");
	}

	@Example
	void refusesUnknownTeamsAndCallers() {
		club("\"team\": \"shops\", \"keyDigest\"", "\"team\": \"shop\", \"keyDigest\"",
				"callers[0].team: shop is not declared");
		club("256, \"callers\": [\"till\"]", "256, \"callers\": [\"tills\"]",
				"pavio:7:35: pipelines[0].callers[0]: tills is not declared");
		club("\"orders\", \"callers\": [\"till\"]", "\"orders\", \"callers\": [\"x\"]",
				"applications[0].callers[0]: x is not declared");
	}

	@Example
	void refusesUnknownModelsAndAdaptersOfPipelines() {
		club("\"version\": \"2\"", "\"version\": \"1\"", "pipelines[0].model: wick@1 is not declared");
		club("\"adapter\": \"orders\"", "\"adapter\": \"notes\"", "pipelines[0].adapter: notes is not declared");
	}

	@Example
	void refusesApplicationsWithoutRunner() {
		club("{\"application\": \"orders\"", "{\"application\": \"returns\"", "applications[0]: returns has no runner");
	}

	@Example
	void refusesAKeyOfTwoSenders() {
		club(KeyDigest.of("inez key"), KeyDigest.of("till key"),
				"operators[0].keyDigest: the key of operator inez of club pavio is also the key of caller till");
		club(KeyDigest.of("till key"), KeyDigest.of("van key"),
				"the key of caller till of club pavio is also the key of caller van of club klokhuis");
	}

	// Application runners do not tell clubs apart, so a shared name would send one club's
	// orders to the other's runners.
	@Example
	void refusesAnApplicationOfTwoClubs() {
		String klokhuis = Texts.KLOKHUIS.replace("\"applications\": []",
				"\"applications\": [{\"application\": \"orders\", \"callers\": [], \"operations\": []}]");
		assertOnly(Texts.check(Texts.FEDERATION, Texts.PAVIO, klokhuis),
				List.of("applications[0]: orders is also an application of club klokhuis"));
	}

	private static void federation(String valid, String damaged, String... expected) {
		assertThat(Texts.FEDERATION).contains(valid);
		assertOnly(Texts.check(Texts.FEDERATION.replace(valid, damaged), Texts.PAVIO, Texts.KLOKHUIS),
				List.of(expected));
	}

	private static void club(String valid, String damaged, String... expected) {
		assertThat(Texts.PAVIO).contains(valid);
		assertOnly(Texts.check(Texts.FEDERATION, Texts.PAVIO.replace(valid, damaged), Texts.KLOKHUIS),
				List.of(expected));
	}

	private static void assertOnly(CheckReport report, List<String> expected) {
		assertThat(report.findings()).hasSameSizeAs(expected);
		for (int i = 0; i < expected.size(); i++) {
			assertThat(report.findings().get(i).toString()).contains(expected.get(i));
			assertThat(report.findings().get(i).position()).isNotNull();
		}
	}

}
