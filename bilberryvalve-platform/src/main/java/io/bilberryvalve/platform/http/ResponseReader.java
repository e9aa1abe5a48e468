package io.bilberryvalve.platform.http;

import java.io.IOException;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.StoreFailure;

/**
 * Converts responses of a service to results of reads.
 */
final class ResponseReader {

	private ResponseReader() {
	}

	static <T> ReadResult<T> parse(FailoverHttpClient.Response response, BodyParser<T> parser) {
		if (response instanceof FailoverHttpClient.Response.Missing) {
			return new ReadResult.Missing<>();
		}
		if (response instanceof FailoverHttpClient.Response.Body body) {
			return parse(body.bytes(), parser);
		}
		return new ReadResult.Failed<>(failure(response));
	}

	static StoreFailure failure(FailoverHttpClient.Response response) {
		if (response instanceof FailoverHttpClient.Response.Refused refused) {
			return refused.failure();
		}
		if (response instanceof FailoverHttpClient.Response.Rejected rejected) {
			return rejected.failure();
		}
		if (response instanceof FailoverHttpClient.Response.Unknown unknown) {
			return unknown.failure();
		}
		return StoreFailure.of(StoreFailure.Kind.REJECTED, "unexpected response " + response);
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
	 * Parses the body of a successful response.
	 *
	 * @param <T> type of the value
	 */
	@FunctionalInterface
	interface BodyParser<T> {

		T parse(byte[] bytes) throws IOException;

	}

}
