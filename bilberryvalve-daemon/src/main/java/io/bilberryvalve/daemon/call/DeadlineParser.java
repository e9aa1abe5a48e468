package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

import io.bilberryvalve.daemon.http.Exchange;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;

/**
 * Computes the deadline of a request from its {@code X-Request-Timeout} header, which
 * gives milliseconds. A timeout of more than 10 minutes is limited to 10 minutes.
 */
final class DeadlineParser {

	private static final long MAX_TIMEOUT_MILLIS = Duration.ofMinutes(10).toMillis();

	private final Duration defaultTimeout;

	private final Clock clock;

	DeadlineParser(Duration timeout, Clock clock) {
		this.defaultTimeout = timeout;
		this.clock = clock;
	}

	Result<Instant> parse(Exchange exchange) {
		CharSequence header = exchange.request().headers().get("x-request-timeout");
		if (header == null) {
			return Result.ok(this.clock.instant().plus(this.defaultTimeout));
		}
		try {
			long millis = Long.parseLong(header.toString().trim());
			if (millis > 0) {
				return Result.ok(this.clock.instant().plusMillis(Math.min(millis, MAX_TIMEOUT_MILLIS)));
			}
		}
		catch (NumberFormatException ex) {
			// Rejected below, like a number that is not positive.
		}
		return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST, "X-Request-Timeout is not valid",
				"send a positive number of milliseconds"));
	}

}
