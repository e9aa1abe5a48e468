package io.bilberryvalve.operators.examples;

import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.operators.ClubDeclaration;
import io.bilberryvalve.operators.Federation;

/**
 * The part of Pavio Serrano Sistemas: ordering and support for shops that sell candle
 * stand refills. Large shops and small shops are separate teams, so that a busy shop does
 * not starve quiet ones. Real declarations hold digests of keys and never the keys.
 */
public final class PavioExample {

	/** Name of the club. */
	public static final String CLUB = "pavio";

	/** Key of the tills of large shops. */
	public static final String LARGE_SHOP_KEY = "example-pavio-large-shop";

	/** Key of the tills of small shops. */
	public static final String SMALL_SHOP_KEY = "example-pavio-small-shop";

	/** Key of the support desk. */
	public static final String SUPPORT_KEY = "example-pavio-support";

	/** Key of the operator. */
	public static final String OPERATOR_KEY = "example-pavio-operator";

	private PavioExample() {
	}

	/**
	 * Returns the document of the club.
	 * @return the canonical document
	 */
	public static String document() {
		return Federation.declare().club(CLUB, PavioExample::declare).print(CLUB);
	}

	/**
	 * Declares the club.
	 * @param club receives the declaration
	 */
	static void declare(ClubDeclaration club) {
		club.team("large-shops", 2)
			.team("small-shops", 2)
			.team("support", 1)
			.caller("large-shop-till", "large-shops", KeyDigest.of(LARGE_SHOP_KEY))
			.caller("small-shop-till", "small-shops", KeyDigest.of(SMALL_SHOP_KEY))
			.caller("support-desk", "support", KeyDigest.of(SUPPORT_KEY))
			.operator("inez", KeyDigest.of(OPERATOR_KEY))
			.pipeline("reorder-notes",
					(pipeline) -> pipeline.model("wick-writer", "2026.1")
						.adapter("refills")
						.maxTokens(256)
						.callers("large-shop-till", "small-shop-till"))
			.pipeline("refill-answers",
					(pipeline) -> pipeline.model("wick-writer", "2026.1")
						.maxTokens(512)
						.callers("large-shop-till", "small-shop-till", "support-desk"))
			.application("refill-orders",
					(orders) -> orders.atMostOnce("place")
						.idempotent("status")
						.callers("large-shop-till", "small-shop-till"))
			.application("refill-stock",
					(stock) -> stock.idempotent("level").callers("large-shop-till", "small-shop-till", "support-desk"));
	}

}
