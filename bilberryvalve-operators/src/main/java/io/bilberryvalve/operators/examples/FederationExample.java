package io.bilberryvalve.operators.examples;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;

import io.bilberryvalve.operators.Federation;

/**
 * A federation of two clubs with 12 model runners of 4 accelerator kinds in 3 data
 * centres. Two data centres share a region; the link to the third is 100 times slower
 * than the link between them. No runner holds a whole model.
 */
public final class FederationExample {

	private static final String SOUTH_A = "south-a";

	private static final String SOUTH_B = "south-b";

	private static final String WEST_A = "west-a";

	private static final long REGION_BYTES_PER_SECOND = 1_250_000_000;

	private static final long WIDE_AREA_BYTES_PER_SECOND = REGION_BYTES_PER_SECOND / 100;

	private static final Duration LOCAL_LATENCY = Duration.ofNanos(20_000);

	private static final Duration REGION_LATENCY = Duration.ofNanos(90_000);

	private static final Duration WIDE_AREA_LATENCY = Duration.ofMillis(9);

	/** Two chains have the adapter, so that the loss of one runner leaves one chain. */
	private static final int ADAPTED_WRITERS = 4;

	private FederationExample() {
	}

	/**
	 * Returns the whole federation.
	 * @return the federation part and the parts of both clubs
	 */
	public static Federation federation() {
		Federation federation = Federation.declare().share(PavioExample.CLUB, 50).share(KlokhuisExample.CLUB, 50);
		places(federation);
		models(federation);
		writers(federation);
		advisors(federation);
		applications(federation);
		return federation.club(PavioExample.CLUB, PavioExample::declare)
			.club(KlokhuisExample.CLUB, KlokhuisExample::declare);
	}

	/**
	 * Writes the documents of all parts.
	 * @param arguments the directory
	 * @throws IOException if a file cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		if (arguments.length != 1) {
			throw new IllegalArgumentException("got " + arguments.length + " arguments; name one directory");
		}
		federation().write(Path.of(arguments[0]));
	}

	private static void places(Federation federation) {
		federation.dataCentre(SOUTH_A, "south").dataCentre(SOUTH_B, "south").dataCentre(WEST_A, "west");
		for (String place : new String[] { SOUTH_A, SOUTH_B, WEST_A }) {
			federation.link(place, place, LOCAL_LATENCY, REGION_BYTES_PER_SECOND);
		}
		federation.link(SOUTH_A, SOUTH_B, REGION_LATENCY, REGION_BYTES_PER_SECOND)
			.link(SOUTH_A, WEST_A, WIDE_AREA_LATENCY, WIDE_AREA_BYTES_PER_SECOND)
			.link(SOUTH_B, WEST_A, WIDE_AREA_LATENCY, WIDE_AREA_BYTES_PER_SECOND);
	}

	private static void models(Federation federation) {
		federation.accelerator("tensor-96", 4800, 96_000)
			.accelerator("tensor-48", 2400, 48_000)
			.accelerator("graphics-24", 1200, 18_000)
			.accelerator("edge-8", 400, 4_000)
			.model("wick-writer", "2026.1",
					(model) -> model.layers(32).activationBytes(8192).kvBytesPerTokenLayer(4096).adapters("refills"))
			.model("bell-advisor", "3", (
					model) -> model.layers(24).activationBytes(6144).kvBytesPerTokenLayer(3072).adapters("installers"));
	}

	private static void writers(Federation federation) {
		writer(federation, 1, SOUTH_A, "tensor-48", 0, 16);
		writer(federation, 2, SOUTH_A, "tensor-48", 16, 32);
		writer(federation, 3, SOUTH_B, "graphics-24", 0, 16);
		writer(federation, 4, SOUTH_B, "graphics-24", 16, 32);
		writer(federation, 5, WEST_A, "edge-8", 0, 16);
		writer(federation, 6, WEST_A, "graphics-24", 16, 32);
		writer(federation, 7, SOUTH_B, "tensor-96", 0, 24);
	}

	// Half of the engines check fencing numbers; the successor of a lease must wait
	// before
	// it sends orders to the others.
	private static void writer(Federation federation, int number, String place, String kind, int first, int end) {
		federation.runner("writer-" + number, (runner) -> {
			runner.address("127.0.0.1:" + (9000 + number)).dataCentre(place).accelerator(kind);
			runner.holds("wick-writer", "2026.1", first, end);
			if (number <= ADAPTED_WRITERS) {
				runner.adapter("refills");
			}
			if (number % 2 == 0) {
				runner.checksFencing();
			}
		});
	}

	private static void advisors(Federation federation) {
		advisor(federation, 1, SOUTH_A, "tensor-48", 0, 12);
		advisor(federation, 2, SOUTH_B, "tensor-48", 12, 24);
		advisor(federation, 3, WEST_A, "edge-8", 0, 8);
		advisor(federation, 4, WEST_A, "edge-8", 8, 16);
		advisor(federation, 5, WEST_A, "graphics-24", 16, 24);
	}

	private static void advisor(Federation federation, int number, String place, String kind, int first, int end) {
		federation.runner("advisor-" + number,
				(runner) -> runner.address("127.0.0.1:" + (9050 + number))
					.dataCentre(place)
					.accelerator(kind)
					.holds("bell-advisor", "3", first, end)
					.adapter("installers")
					.checksFencing());
	}

	private static void applications(Federation federation) {
		federation.keyCheckingRunner("refill-orders-1", "refill-orders", SOUTH_A, "127.0.0.1:9101")
			.applicationRunner("refill-orders-2", "refill-orders", SOUTH_B, "127.0.0.1:9102")
			.applicationRunner("refill-stock-1", "refill-stock", SOUTH_A, "127.0.0.1:9103")
			.keyCheckingRunner("battery-orders-1", "battery-orders", WEST_A, "127.0.0.1:9104")
			.applicationRunner("battery-orders-2", "battery-orders", SOUTH_B, "127.0.0.1:9105")
			.applicationRunner("warranty-1", "warranty", WEST_A, "127.0.0.1:9106");
	}

}
