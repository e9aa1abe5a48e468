package io.bilberryvalve.policy.placement;

import java.util.Map;

import io.bilberryvalve.model.DataCentreId;

/**
 * Performance of the engines of a service, as declared in its configuration. Times are
 * those of the reference card holding all layers; a card that holds a part of the layers
 * needs that share, times the factor of its kind.
 *
 * @param slots requests that a runner accepts as the first of a path
 * @param layers number of layers of the model
 * @param layerMegabytes memory of the weights of one layer
 * @param tokenBytes memory that one token of a request needs over all layers
 * @param stepMillis fixed time of a token step
 * @param requestStepMillis additional time of a token step for each running request
 * @param contextStepMillis additional time of a token step for 1,000 tokens of context
 * @param prefillTokensPerMillis prompt tokens read in a millisecond
 * @param tokensPerEvent token steps that one pass runs, which is one event of a stream
 * @param promptTokens usual length of a prompt
 * @param answerTokens usual length of an answer
 * @param activationBytes data that a token carries from one runner to the next
 * @param linkMegabitsPerSecond rate in Mbit/s of the link between two data centres, which
 * all paths share
 * @param loadSeconds time to load all layers
 * @param cards the kinds of cards by name
 * @param links one-way delays between data centres in milliseconds
 */
public record EngineProfile(int slots, int layers, double layerMegabytes, double tokenBytes, double stepMillis,
		double requestStepMillis, double contextStepMillis, double prefillTokensPerMillis, int tokensPerEvent,
		int promptTokens, int answerTokens, double activationBytes, double linkMegabitsPerSecond, double loadSeconds,
		Map<String, CardKind> cards, Map<DataCentreLink, Double> links) {

	private static final double BYTES_PER_MEGABYTE = 1e6;

	/** Between runners of one data centre. */
	private static final double LOCAL_DELAY_MILLIS = 0.2;

	/**
	 * Checks the profile.
	 * @throws IllegalArgumentException if a figure that later divides is not positive
	 */
	public EngineProfile {
		if (layers < 1 || !(layerMegabytes > 0 && tokenBytes > 0 && prefillTokensPerMillis > 0)) {
			throw new IllegalArgumentException(
					"engine profile needs layers, memory of a layer, memory of a token and a reading rate above 0");
		}
		cards = Map.copyOf(cards);
		links = Map.copyOf(links);
	}

	/**
	 * Returns the tokens that fit into the memory that a card has left beside its layers.
	 * @param card the kind of card
	 * @param held number of layers that it holds
	 * @return number of tokens, 0 if the layers do not fit
	 */
	public int tokenCapacity(CardKind card, int held) {
		double free = card.megabytes() - held * this.layerMegabytes;
		double perToken = this.tokenBytes / BYTES_PER_MEGABYTE * held / this.layers;
		return (free > 0 && held > 0) ? (int) (free / perToken) : 0;
	}

	/**
	 * Returns the time of a token step on a card.
	 * @param card the kind of card
	 * @param held number of layers that the step runs
	 * @param running requests that take part
	 * @param tokens tokens in memory of these requests
	 * @return milliseconds
	 */
	public double stepMillis(CardKind card, int held, double running, double tokens) {
		double whole = this.stepMillis + this.requestStepMillis * running + this.contextStepMillis * tokens / 1000;
		return whole * card.stepFactor() * held / this.layers;
	}

	/**
	 * Returns the time to read prompt tokens on a card.
	 * @param card the kind of card
	 * @param held number of layers that the tokens pass
	 * @param tokens number of tokens
	 * @return milliseconds
	 */
	public double prefillMillis(CardKind card, int held, double tokens) {
		return tokens / this.prefillTokensPerMillis * card.prefillFactor() * held / this.layers;
	}

	/**
	 * Returns the delay between two data centres.
	 * @param from one data centre
	 * @param to the other
	 * @return milliseconds one way
	 */
	public double delayMillis(DataCentreId from, DataCentreId to) {
		if (from.equals(to)) {
			return LOCAL_DELAY_MILLIS;
		}
		Double there = this.links.get(new DataCentreLink(from, to));
		if (there == null) {
			there = this.links.get(new DataCentreLink(to, from));
		}
		return (there != null) ? there : LOCAL_DELAY_MILLIS;
	}

	/**
	 * Returns the time that the link between two data centres needs for tokens. It
	 * carries one transfer after the other, for all paths.
	 * @param tokens number of tokens
	 * @return milliseconds
	 */
	public double linkTransferMillis(double tokens) {
		return (this.linkMegabitsPerSecond > 0)
				? tokens * this.activationBytes * 8 / (this.linkMegabitsPerSecond * 1000) : 0;
	}

	/**
	 * Two data centres in one direction.
	 *
	 * @param from where a message starts
	 * @param to where it arrives
	 */
	public record DataCentreLink(DataCentreId from, DataCentreId to) {

	}

}
