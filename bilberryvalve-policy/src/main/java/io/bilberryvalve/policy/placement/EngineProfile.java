package io.bilberryvalve.policy.placement;

import java.util.Map;

import io.bilberryvalve.model.DataCentreId;

/**
 * Performance of the engines of a service, as declared in its configuration. Times refer
 * to the reference card with all layers of the model. A card that holds some of the
 * layers needs the same fraction of the time, multiplied by the factor of its kind.
 *
 * @param slots requests that a runner accepts at once as the first hop of their paths
 * @param layers number of layers of the model
 * @param layerMegabytes memory for the weights of one layer in MB
 * @param tokenBytes memory in bytes that one token of a request needs over all layers
 * @param stepMillis fixed time of a decode step
 * @param requestStepMillis additional time of a decode step for each running request
 * @param contextStepMillis additional time of a decode step for every 1,000 tokens of
 * context
 * @param prefillTokensPerMillis prompt tokens prefilled per millisecond
 * @param tokensPerEvent decode steps in one pass over the path, which sends one event of
 * a stream
 * @param promptTokens typical length of a prompt
 * @param answerTokens typical length of an answer
 * @param activationBytes bytes sent per token from one runner to the next
 * @param linkMegabitsPerSecond bandwidth of the link between two data centres, shared by
 * all paths; 0 for no limit
 * @param loadSeconds time to load all layers of the model
 * @param cards kinds of cards, by name
 * @param links one-way delays between data centres in milliseconds
 */
public record EngineProfile(int slots, int layers, double layerMegabytes, double tokenBytes, double stepMillis,
		double requestStepMillis, double contextStepMillis, double prefillTokensPerMillis, int tokensPerEvent,
		int promptTokens, int answerTokens, double activationBytes, double linkMegabitsPerSecond, double loadSeconds,
		Map<String, CardKind> cards, Map<DataCentreLink, Double> links) {

	private static final double BYTES_PER_MEGABYTE = 1e6;

	/** One-way delay between two runners of a data centre. */
	private static final double LOCAL_DELAY_MILLIS = 0.2;

	/**
	 * Validates the profile.
	 * @throws IllegalArgumentException if a figure that is used as a divisor is not
	 * positive
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
	 * Returns how many tokens fit into the memory of a card that its layers leave free.
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
	 * Returns the time of a decode step on a card.
	 * @param card the kind of card
	 * @param held number of layers that the card computes
	 * @param running requests in the same batch
	 * @param tokens tokens that these requests have in memory
	 * @return milliseconds
	 */
	public double stepMillis(CardKind card, int held, double running, double tokens) {
		double whole = this.stepMillis + this.requestStepMillis * running + this.contextStepMillis * tokens / 1000;
		return whole * card.stepFactor() * held / this.layers;
	}

	/**
	 * Returns the time to prefill prompt tokens on a card.
	 * @param card the kind of card
	 * @param held number of layers that the card computes
	 * @param tokens number of prompt tokens
	 * @return milliseconds
	 */
	public double prefillMillis(CardKind card, int held, double tokens) {
		return tokens / this.prefillTokensPerMillis * card.prefillFactor() * held / this.layers;
	}

	/**
	 * Returns the one-way delay between two data centres. A delay declared for one
	 * direction also applies to the other; without any, the delay within a data centre
	 * applies.
	 * @param from data centre of the sender
	 * @param to data centre of the receiver
	 * @return milliseconds
	 */
	public double delayMillis(DataCentreId from, DataCentreId to) {
		if (from.equals(to)) {
			return LOCAL_DELAY_MILLIS;
		}
		Double delay = this.links.get(new DataCentreLink(from, to));
		if (delay == null) {
			delay = this.links.get(new DataCentreLink(to, from));
		}
		return (delay != null) ? delay : LOCAL_DELAY_MILLIS;
	}

	/**
	 * Returns the time that the link between two data centres needs to transfer tokens.
	 * The link carries the transfers of all paths one after the other.
	 * @param tokens number of tokens
	 * @return milliseconds, 0 if the bandwidth is not limited
	 */
	public double linkTransferMillis(double tokens) {
		return (this.linkMegabitsPerSecond > 0)
				? tokens * this.activationBytes * 8 / (this.linkMegabitsPerSecond * 1000) : 0;
	}

	/**
	 * Ordered pair of data centres.
	 *
	 * @param from data centre of the sender
	 * @param to data centre of the receiver
	 */
	public record DataCentreLink(DataCentreId from, DataCentreId to) {

	}

}
