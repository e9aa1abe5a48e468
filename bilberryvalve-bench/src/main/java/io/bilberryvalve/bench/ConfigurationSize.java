package io.bilberryvalve.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.config.ConfigurationDocument;
import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.operators.Federation;

/**
 * Size of the configuration as text and on the heap, and the time to parse it, by the
 * number of runners and teams.
 */
final class ConfigurationSize implements Experiment {

	private static final int[] RUNNERS = { 100, 1000, 4000, 10_000 };

	private static final int[] TEAMS = { 10, 100, 400, 1000 };

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double BYTES_PER_MEGABYTE = 1 << 20;

	@Override
	public String name() {
		return "configuration";
	}

	@Override
	public List<Figure> run(List<Long> seeds) {
		List<Figure> figures = new ArrayList<>();
		for (int runners : RUNNERS) {
			figures.addAll(measure("runners_" + runners, federationPart(runners)));
		}
		for (int teams : TEAMS) {
			figures.addAll(measure("teams_" + teams, clubPart(teams)));
		}
		return figures;
	}

	private static List<Figure> measure(String suffix, String text) {
		long before = heap();
		long start = System.nanoTime();
		ConfigurationDocument document = ConfigurationDocument.parse("part", text).orThrow();
		double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
		double heap = (heap() - before) / BYTES_PER_MEGABYTE;
		return List.of(
				Figure.of("configuration_bytes_" + suffix, document.canonicalText().length(), "B",
						"canonical text of the part"),
				Figure.of("configuration_parse_" + suffix, seconds, "s", "parse of the part"),
				Figure.of("configuration_heap_" + suffix, heap, "MB", "document with its places and text"));
	}

	private static String federationPart(int runners) {
		Federation federation = Federation.declare()
			.dataCentre("dc-1", "region")
			.accelerator("kind", 1000, 10_000)
			.model("m", "1", (model) -> model.layers(32).activationBytes(8192).kvBytesPerTokenLayer(4096));
		for (int i = 0; i < runners; i++) {
			int port = 1024 + i;
			int first = 16 * (i % 2);
			federation.runner("runner-" + i,
					(runner) -> runner.address("127.0.0.1:" + port)
						.dataCentre("dc-1")
						.accelerator("kind")
						.holds("m", "1", first, first + 16));
		}
		return federation.print("federation");
	}

	private static String clubPart(int teams) {
		return Federation.declare().club("club", (club) -> {
			for (int i = 0; i < teams; i++) {
				String caller = "caller-" + i;
				club.team("team-" + i, 1)
					.caller(caller, "team-" + i, KeyDigest.of(caller))
					.pipeline("pipeline-" + i, (pipeline) -> pipeline.model("m", "1").maxTokens(100).callers(caller));
			}
		}).print("club");
	}

	private static long heap() {
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
