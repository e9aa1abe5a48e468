package io.bilberryvalve.standins.fault;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The document of {@code PUT /admin/faults}. A new document replaces the one before; an
 * absent field means no such fault. This control exists for tests only.
 *
 * @param outages services that answer 503
 * @param delays services that answer late
 * @param loseAnswers services that close the connection instead of answering a write that
 * took effect
 * @param refuseConnectionsMillis time in milliseconds from now in which new connections
 * are closed at once
 * @param silent whether no request is answered, on any connection
 * @param silenceExisting whether the connections that are open now go silent for good,
 * while new ones work
 * @param stopAfterTokens the process halts after that many more executed token positions,
 * or {@code null} for never
 * @param stallAfterTokens reply streams stop, without an end and without keep-alives,
 * after that many more tokens, or {@code null} for never
 * @param linkDelayMillis delay in milliseconds added before each step is passed to the
 * next stage and before KV data is imported
 */
public record FaultSettings(@Nullable List<Service> outages, @Nullable List<Delay> delays,
		@Nullable List<LostAnswers> loseAnswers, long refuseConnectionsMillis, boolean silent, boolean silenceExisting,
		@Nullable Integer stopAfterTokens, @Nullable Integer stallAfterTokens, long linkDelayMillis) {

	/**
	 * Copies the lists and replaces absent ones by empty ones.
	 */
	public FaultSettings {
		outages = (outages != null) ? List.copyOf(outages) : List.of();
		delays = (delays != null) ? List.copyOf(delays) : List.of();
		loseAnswers = (loseAnswers != null) ? List.copyOf(loseAnswers) : List.of();
	}

	/**
	 * Returns settings without faults.
	 * @return the settings
	 */
	public static FaultSettings none() {
		return new FaultSettings(null, null, null, 0, false, false, null, null, 0);
	}

	/**
	 * A service that answers late.
	 *
	 * @param service the service
	 * @param millis delay of each answer in milliseconds
	 */
	public record Delay(Service service, long millis) {

	}

	/**
	 * A service that loses answers.
	 *
	 * @param service the service
	 * @param count number of successful writes whose answers are lost
	 */
	public record LostAnswers(Service service, int count) {

	}

}
