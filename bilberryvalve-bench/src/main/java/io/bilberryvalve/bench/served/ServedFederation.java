package io.bilberryvalve.bench.served;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Candidate;
import io.bilberryvalve.policy.chain.LinkTable;
import io.bilberryvalve.policy.chain.ModelShape;

/**
 * Runners of one model on mixed accelerators in several data centres, generated from a
 * seed. The speeds of the seven kinds differ by a factor of eight and the links by a
 * factor of one hundred.
 *
 * @param model the model
 * @param candidates the runners with their speeds
 * @param links the links between all data centres
 */
public record ServedFederation(ModelShape model, List<Candidate> candidates, LinkTable links) {

	/** Layers of the model. */
	public static final int LAYERS = 32;

	private static final double[] SPEEDS = { 400, 600, 800, 1200, 1600, 2400, 3200 };

	private static final long ACTIVATION_BYTES = 16_384;

	private static final long FAST_BYTES_PER_SECOND = 1_000_000_000L;

	private static final int LINK_FACTOR = 100;

	/**
	 * Generates a federation.
	 * @param runners number of runners, at least 4
	 * @param dataCentres number of data centres
	 * @param seed seed of the generator
	 * @return the federation; its runners cover the model at least once
	 */
	public static ServedFederation generate(int runners, int dataCentres, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		ModelVersion version = new ModelVersion(new ModelId("m"), "1");
		List<DataCentreId> places = new ArrayList<>();
		for (int i = 0; i < dataCentres; i++) {
			places.add(new DataCentreId("dc" + i));
		}
		List<Candidate> candidates = new ArrayList<>();
		int first = 0;
		for (int i = 0; i < runners; i++) {
			int kind = random.nextInt(SPEEDS.length);
			int end = Math.min(LAYERS, first + 8 + 4 * random.nextInt(3));
			end = (LAYERS - end < 8) ? LAYERS : end;
			DataCentreId place = places.get(random.nextInt(dataCentres));
			Runner runner = new Runner(new RunnerId("r" + i), new Address("127.0.0.1", 9000 + i % 50000), place,
					new AcceleratorKind("kind" + kind), version, new LayerRange(first, end), true, null);
			candidates.add(new Candidate(runner, SPEEDS[kind], 0));
			first = (end == LAYERS) ? 0 : end;
		}
		return new ServedFederation(new ModelShape(version, LAYERS, ACTIVATION_BYTES), candidates,
				links(places, random));
	}

	/**
	 * Returns the federation without a runner.
	 * @param lost the runner
	 * @return the rest
	 */
	public ServedFederation without(RunnerId lost) {
		List<Candidate> rest = this.candidates.stream()
			.filter((candidate) -> !candidate.runner().id().equals(lost))
			.toList();
		return new ServedFederation(this.model, rest, this.links);
	}

	/**
	 * Returns the speeds of the runners.
	 * @return layers a second by runner
	 */
	public Map<RunnerId, Double> speeds() {
		Map<RunnerId, Double> speeds = new HashMap<>();
		this.candidates.forEach((candidate) -> speeds.put(candidate.runner().id(), candidate.layersPerSecond()));
		return speeds;
	}

	private static LinkTable links(List<DataCentreId> places, SplittableRandom random) {
		List<Link> links = new ArrayList<>();
		for (int i = 0; i < places.size(); i++) {
			for (int j = i; j < places.size(); j++) {
				double slowness = (i == j) ? 1 : Math.pow(LINK_FACTOR, random.nextDouble());
				long latency = Math.round(50_000 * slowness);
				links.add(new Link(places.get(i), places.get(j), Duration.ofNanos(latency),
						Math.round(FAST_BYTES_PER_SECOND / slowness)));
			}
		}
		return new LinkTable(links);
	}

}
