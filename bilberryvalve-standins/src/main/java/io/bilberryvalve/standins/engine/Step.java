package io.bilberryvalve.standins.engine;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * The document of {@code POST /v1/streams/{stream}/steps}, passed from stage to stage.
 *
 * @param epoch attempt epoch
 * @param phase what the step does
 * @param at number of the receiving stage in the chain, from 0
 * @param index index of the token that the step produces
 * @param start first token position that the step computes
 * @param end position after the last one
 * @param layers layers executed by the stages before
 * @param open the request; present in the phase {@code open} only
 */
public record Step(int epoch, Phase phase, int at, int index, int start, int end, @Nullable List<Stage.Trace> layers,
		@Nullable StreamRequest open) {

	/**
	 * Copies the list.
	 * @throws IllegalArgumentException if a field is missing or out of range
	 */
	public Step {
		layers = (layers != null) ? List.copyOf(layers) : List.of();
		if (phase == null || at < 0 || (phase == Phase.OPEN) != (open != null)) {
			throw new IllegalArgumentException("a step needs a phase, at >= 0 and, to open, the request");
		}
		if (phase != Phase.OPEN && end <= start) {
			throw new IllegalArgumentException("a step needs start < end");
		}
	}

	static Step open(StreamRequest request) {
		return new Step(request.epoch(), Phase.OPEN, 0, request.from(), 0, 0, null, request);
	}

	/**
	 * Returns the step for the next stage.
	 * @param done layers that this stage executed, or {@code null} if it executed none
	 * @return the step
	 */
	Step next(Stage.@Nullable Trace done) {
		List<Stage.Trace> trace = new ArrayList<>();
		if (this.layers != null) {
			trace.addAll(this.layers);
		}
		if (done != null) {
			trace.add(done);
		}
		return new Step(this.epoch, this.phase, this.at + 1, this.index, this.start, this.end, trace, this.open);
	}

	/**
	 * Phases of a stream.
	 */
	public enum Phase {

		/** Announces the epoch to each stage and finds the positions that all hold. */
		@JsonProperty("open")
		OPEN,

		/** Computes the prompt and the delivered tokens. */
		@JsonProperty("prefill")
		PREFILL,

		/** Computes one token. */
		@JsonProperty("decode")
		DECODE

	}

	/**
	 * The answer to a step.
	 *
	 * @param positions in the phase {@code open}, number of leading positions whose KV
	 * data this stage and all later ones hold, otherwise 0
	 * @param text the token, empty in the phase {@code open}
	 * @param layers layers executed by all stages
	 */
	public record Answer(int positions, String text, List<Stage.Trace> layers) {

		/**
		 * Copies the list.
		 */
		public Answer {
			layers = List.copyOf(layers);
		}

	}

}
