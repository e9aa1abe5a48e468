package io.bilberryvalve.bench.process;

import java.time.Duration;
import java.util.function.Function;

import io.bilberryvalve.bench.process.LocalFederation.Plan;
import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.operators.ClubDeclaration;
import io.bilberryvalve.operators.Federation;

/**
 * Configuration of a federation on loopback.
 */
final class PlanDeclaration {

	private static final String[] PLACES = { "south-a", "south-b", "west-a" };

	private static final int HALF = LocalFederation.LAYERS / 2;

	private final Plan plan;

	private final Function<String, Address> addresses;

	PlanDeclaration(Plan plan, Function<String, Address> addresses) {
		this.plan = plan;
		this.addresses = addresses;
	}

	/**
	 * Returns the data centre of an entry or a chain.
	 * @param number its number
	 * @return the data centre
	 */
	static String place(int number) {
		return PLACES[number % PLACES.length];
	}

	/**
	 * Declares the federation.
	 * @param maxTokens largest reply of each pipeline
	 * @return the declaration
	 */
	Federation declare(int maxTokens) {
		Federation federation = Federation.declare().share("pavio", 50).share("klokhuis", 50);
		for (String place : PLACES) {
			federation.dataCentre(place, "south");
		}
		links(federation);
		federation.accelerator("kind", this.plan.layersPerSecond(), this.plan.layersPerSecond() * 10)
			.model("m", "1",
					(model) -> model.layers(LocalFederation.LAYERS).activationBytes(8192).kvBytesPerTokenLayer(4096));
		for (int i = 0; i < 2 * this.plan.chains(); i++) {
			engine(federation, i);
		}
		federation.applicationRunner("orders", "orders", "south-a", this.addresses.apply("orders").toString());
		return federation.club("pavio", (part) -> {
			club(part, "pavio", maxTokens);
			part.application("orders",
					(application) -> application.callers("shop").atMostOnce("place").idempotent("status"));
		}).club("klokhuis", (part) -> club(part, "klokhuis", maxTokens));
	}

	private static void links(Federation federation) {
		for (String from : PLACES) {
			for (String to : PLACES) {
				if (from.compareTo(to) <= 0) {
					federation.link(from, to, Duration.ofNanos(100_000), 1_000_000_000L);
				}
			}
		}
	}

	private void engine(Federation federation, int engine) {
		String name = "engine-" + engine;
		int first = (engine % 2 == 0) ? 0 : HALF;
		federation.runner(name,
				(runner) -> runner.address(this.addresses.apply(name).toString())
					.dataCentre(place(engine / 2))
					.accelerator("kind")
					.holds("m", "1", first, first + HALF));
	}

	private static void club(ClubDeclaration part, String club, int maxTokens) {
		part.team("shops", 1)
			.caller("shop", "shops", KeyDigest.of(club + "-shop"))
			.operator("operator", KeyDigest.of(club + "-operator"))
			.pipeline(club + "-notes", (pipeline) -> pipeline.model("m", "1").maxTokens(maxTokens).callers("shop"));
	}

}
