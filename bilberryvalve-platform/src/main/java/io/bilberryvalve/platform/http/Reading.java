package io.bilberryvalve.platform.http;

import java.io.IOException;

import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.StoreFailure;

/**
 * Turns answers into results of reads.
 */
final class Reading {

	private Reading() {
	}

	static <T> Fetched<T> parse(HttpService.Answer answer, Parser<T> parser) {
		if (answer instanceof HttpService.Answer.Missing) {
			return new Fetched.Missing<>();
		}
		if (answer instanceof HttpService.Answer.Body body) {
			return parse(body.bytes(), parser);
		}
		return new Fetched.Failed<>(failure(answer));
	}

	static StoreFailure failure(HttpService.Answer answer) {
		if (answer instanceof HttpService.Answer.Refused refused) {
			return refused.failure();
		}
		if (answer instanceof HttpService.Answer.Rejected rejected) {
			return rejected.failure();
		}
		if (answer instanceof HttpService.Answer.Unknown unknown) {
			return unknown.failure();
		}
		return StoreFailure.of(StoreFailure.Kind.REJECTED, "unexpected answer " + answer);
	}

	private static <T> Fetched<T> parse(byte[] bytes, Parser<T> parser) {
		try {
			return new Fetched.Found<>(parser.parse(bytes));
		}
		catch (IOException | IllegalArgumentException ex) {
			return new Fetched.Failed<>(StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, ex.toString()));
		}
	}

	/**
	 * Parses the body of an answer.
	 *
	 * @param <T> type of the value
	 */
	@FunctionalInterface
	interface Parser<T> {

		T parse(byte[] bytes) throws IOException;

	}

}
