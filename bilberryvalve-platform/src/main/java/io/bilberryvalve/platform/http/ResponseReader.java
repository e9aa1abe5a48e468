package io.bilberryvalve.platform.http;

import java.io.IOException;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.StoreFailure;

/**
 * Turns answers into results of reads.
 */
final class ResponseReader {

	private ResponseReader() {
	}

	static <T> ReadResult<T> parse(FailoverHttpClient.Response answer, BodyParser<T> parser) {
		if (answer instanceof FailoverHttpClient.Response.Missing) {
			return new ReadResult.Missing<>();
		}
		if (answer instanceof FailoverHttpClient.Response.Body body) {
			return parse(body.bytes(), parser);
		}
		return new ReadResult.Failed<>(failure(answer));
	}

	static StoreFailure failure(FailoverHttpClient.Response answer) {
		if (answer instanceof FailoverHttpClient.Response.Refused refused) {
			return refused.failure();
		}
		if (answer instanceof FailoverHttpClient.Response.Rejected rejected) {
			return rejected.failure();
		}
		if (answer instanceof FailoverHttpClient.Response.Unknown unknown) {
			return unknown.failure();
		}
		return StoreFailure.of(StoreFailure.Kind.REJECTED, "unexpected answer " + answer);
	}

	private static <T> ReadResult<T> parse(byte[] bytes, BodyParser<T> parser) {
		try {
			return new ReadResult.Found<>(parser.parse(bytes));
		}
		catch (IOException | IllegalArgumentException ex) {
			return new ReadResult.Failed<>(StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, ex.toString()));
		}
	}

	/**
	 * Parses the body of an answer.
	 *
	 * @param <T> type of the value
	 */
	@FunctionalInterface
	interface BodyParser<T> {

		T parse(byte[] bytes) throws IOException;

	}

}
