package io.bilberryvalve.operators.examples;

import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.operators.ClubDeclaration;
import io.bilberryvalve.operators.Federation;

/**
 * The part of Klokhuis Batterijen B.V.: advice for installers of doorbell batteries, shop
 * staff and customers. Installers have the largest weight, since their advice must arrive
 * before the van leaves. Real declarations hold digests of keys and never the keys.
 */
public final class KlokhuisExample {

	/** Name of the club. */
	public static final String CLUB = "klokhuis";

	/** Key of the installers' vans. */
	public static final String VAN_KEY = "example-klokhuis-van";

	/** Key of the returns desk. */
	public static final String RETURNS_KEY = "example-klokhuis-returns";

	/** Key of the customers' web shop. */
	public static final String WEB_SHOP_KEY = "example-klokhuis-web-shop";

	/** Key of the operator. */
	public static final String OPERATOR_KEY = "example-klokhuis-operator";

	private KlokhuisExample() {
	}

	/**
	 * Returns the document of the club.
	 * @return the canonical document
	 */
	public static String document() {
		return Federation.declare().club(CLUB, KlokhuisExample::declare).print(CLUB);
	}

	/**
	 * Declares the club.
	 * @param club receives the declaration
	 */
	static void declare(ClubDeclaration club) {
		club.team("installers", 3)
			.team("returns", 1)
			.team("customers", 1)
			.caller("van", "installers", KeyDigest.of(VAN_KEY))
			.caller("returns-desk", "returns", KeyDigest.of(RETURNS_KEY))
			.caller("web-shop", "customers", KeyDigest.of(WEB_SHOP_KEY))
			.operator("joris", KeyDigest.of(OPERATOR_KEY))
			.pipeline("installer-advice",
					(pipeline) -> pipeline.model("bell-advisor", "3")
						.adapter("installers")
						.maxTokens(384)
						.callers("van"))
			.pipeline("battery-answers",
					(pipeline) -> pipeline.model("bell-advisor", "3")
						.maxTokens(512)
						.callers("van", "returns-desk", "web-shop"))
			.application("battery-orders",
					(orders) -> orders.atMostOnce("place", "refund").idempotent("status").callers("van", "web-shop"))
			.application("warranty",
					(warranty) -> warranty.atMostOnce("book-swap").idempotent("status").callers("van", "returns-desk"));
	}

}
