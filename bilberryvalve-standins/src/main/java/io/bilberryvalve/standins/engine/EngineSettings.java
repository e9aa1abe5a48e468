package io.bilberryvalve.standins.engine;

import java.time.Duration;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an engine stand-in.
 *
 * @param runner the runner
 * @param holding what is loaded at the start, or {@code null} for nothing
 * @param batch how streams share the accelerator
 * @param cache prefix cache
 * @param orders rules for orders
 * @param timing delays and limits
 */
public record EngineSettings(RunnerId runner, @Nullable Holding holding, Batch batch, Cache cache, Orders orders,
		Timing timing) {

	/**
	 * How streams share the accelerator.
	 *
	 * @param speed rates of the accelerator
	 * @param maxRunning number of replies that the first runner of chains decodes at the
	 * same time; others wait
	 * @param endsEarly whether replies end on their own before {@code max_tokens}
	 */
	public record Batch(Speed speed, int maxRunning, boolean endsEarly) {

	}

	/**
	 * Prefix cache.
	 *
	 * @param blocks capacity in blocks of 16 tokens
	 * @param eventLag time after which an event shows
	 * @param gapEvery each event whose sequence is divisible by this number is lost, 0
	 * for none
	 */
	public record Cache(int blocks, Duration eventLag, int gapEvery) {

	}

	/**
	 * Rules for orders.
	 *
	 * @param checksFencing whether an old fencing number is refused
	 * @param token bearer token that orders must carry, or {@code null} for none
	 * @param weightStore address of the weight store that a load order reads, or
	 * {@code null} for none
	 * @param loadTime time that a load order takes besides
	 */
	public record Orders(boolean checksFencing, @Nullable String token, @Nullable Address weightStore,
			Duration loadTime) {

	}

	/**
	 * Delays and limits.
	 *
	 * @param loadLag age of load reports
	 * @param retention time for which an unused stream and its KV data are kept
	 * @param keepAlive time between keep-alive comments
	 * @param stepTimeout time after which a stage that does not answer counts as failed;
	 * 20 ms for each prefilled position are added
	 * @param kvRate rate of KV transfers in layer-tokens a second
	 */
	public record Timing(Duration loadLag, Duration retention, Duration keepAlive, Duration stepTimeout,
			double kvRate) {

	}

}
