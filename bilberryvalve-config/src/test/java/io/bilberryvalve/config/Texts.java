package io.bilberryvalve.config;

import java.util.List;

/**
 * A valid configuration of one club for tests.
 */
final class Texts {

	static final String FEDERATION = """
			{
			  "part": "federation",
			  "shares": [{"club": "pavio", "percent": 60}, {"club": "klokhuis", "percent": 40}],
			  "dataCentres": [
			    {"dataCentre": "south-a", "region": "south"}, {"dataCentre": "south-b", "region": "south"}
			  ],
			  "models": [{"model": "wick", "version": "2", "layers": 24, "activationBytes": 8192,
			    "kvBytesPerTokenLayer": 4096, "adapters": ["orders"]}],
			  "accelerators": [{"kind": "a10", "decodeLayersPerSecond": 900.5, "prefillLayersPerSecond": 20000}],
			  "links": [{"from": "south-a", "to": "south-b", "latencyMicros": 250, "bytesPerSecond": 1250000000}],
			  "runners": [
			    {"runner": "r1", "address": "127.0.0.1:9001", "dataCentre": "south-a", "kind": "a10",
			      "model": "wick", "version": "2", "first": 0, "end": 12, "checksFencing": true, "adapter": "orders"},
			    // holds the upper half
			    {"runner": "r2", "address": "127.0.0.1:9002", "dataCentre": "south-b", "kind": "a10",
			      "model": "wick", "version": "2", "first": 12, "end": 24, "checksFencing": false, "adapter": "orders"}
			  ],
			  "applicationRunners": [{"runner": "o1", "address": "127.0.0.1:9101", "dataCentre": "south-a",
			    "application": "orders", "checksKeys": true}]
			}
			""";

	static final String PAVIO = """
			{
			  "part": "pavio",
			  "teams": [{"team": "shops", "weight": 2}, {"team": "support", "weight": 1}],
			  "callers": [{"caller": "till", "team": "shops", "keyDigest": "%s"}],
			  "operators": [{"operator": "inez", "keyDigest": "%s"}],
			  "pipelines": [{"pipeline": "refills", "model": "wick", "version": "2", "adapter": "orders",
			    "maxTokens": 256, "callers": ["till"]}],
			  "applications": [{"application": "orders", "callers": ["till"],
			    "operations": [{"operation": "place", "idempotent": false}, {"operation": "stock", "idempotent": true}]}]
			}
			"""
		.formatted(KeyDigest.of("till key"), KeyDigest.of("inez key"));

	static final String KLOKHUIS = """
			{"part": "klokhuis", "teams": [{"team": "vans", "weight": 1}],
			 "callers": [{"caller": "van", "team": "vans", "keyDigest": "%s"}], "operators": [], "pipelines": [],
			 "applications": []}
			""".formatted(KeyDigest.of("van key"));

	private Texts() {
	}

	static ConfigurationDocument document(String text) {
		return ConfigurationDocument.parse("test.json", text).orThrow();
	}

	static CheckReport check(String... texts) {
		FederationConfiguration configuration = FederationConfiguration.empty();
		List<ConfigurationDocument> documents = List.of(texts).stream().map(Texts::document).toList();
		for (ConfigurationDocument document : documents) {
			configuration = configuration.with(configuration.version() + 1, document.part());
		}
		return ConfigurationCheck.check(configuration, documents);
	}

}
