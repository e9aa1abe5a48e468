package io.bilberryvalve.daemon.peer;

import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.proto.Answer;
import io.bilberryvalve.wire.proto.PeerMessage;

/**
 * Tracks the calls that this daemon has sent to its peers and that have no answer yet.
 * Each call completes exactly once: by its answer, by its timeout or by the end of its
 * connection. Safe for use by several threads.
 */
final class PendingCalls {

	private static final int MAX_PENDING = 16_384;

	private static final String REMEDY = "check the state of the request before repeating it";

	private final Clock clock;

	private final AtomicLong correlations = new AtomicLong();

	private final ConcurrentHashMap<Long, Pending> pending = new ConcurrentHashMap<>();

	PendingCalls(Clock clock) {
		this.clock = clock;
	}

	long nextCorrelation() {
		return this.correlations.incrementAndGet();
	}

	/**
	 * Sends a call. The call is registered before it is sent, because the answer may
	 * arrive before the send returns.
	 * @param connection connection to the peer
	 * @param message message with the call and its correlation number
	 * @param timeout how long to wait for the answer
	 * @return the answer, or a problem; its outcome is {@code not-run} only if nothing
	 * was sent
	 */
	CompletableFuture<Result<byte[]>> send(PeerConnection connection, PeerMessage message, Duration timeout) {
		long correlation = message.getCall().getCorrelation();
		CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
		if (this.pending.size() >= MAX_PENDING) {
			return notSent("too many calls are waiting for answers");
		}
		this.pending.put(correlation, new Pending(connection, this.clock.millis() + timeout.toMillis(), answer));
		if (!connection.send(message)) {
			this.pending.remove(correlation);
			return notSent("the connection to entry " + connection.remote().vm()
					+ " is closed or its queue is full, or the message is too large");
		}
		return answer;
	}

	/**
	 * Completes the call to which an answer belongs. An answer that arrives on another
	 * connection than the one used for the call, or after the call has ended, is ignored.
	 * @param connection connection on which the answer arrived
	 * @param answer answer of the peer
	 */
	void complete(PeerConnection connection, Answer answer) {
		Pending call = this.pending.get(answer.getCorrelation());
		if (call == null || call.connection() != connection || !this.pending.remove(answer.getCorrelation(), call)) {
			return;
		}
		if (answer.getFailure().isEmpty()) {
			call.answer().complete(Result.ok(answer.getBody().toByteArray()));
		}
		else {
			call.answer().complete(Result.failed(Problem.unknown(ProblemKind.INTERNAL, answer.getFailure(), REMEDY)));
		}
	}

	void onConnectionClosed(PeerConnection connection, String reason) {
		Problem problem = Problem.unknown(ProblemKind.UNAVAILABLE,
				"the connection to entry " + connection.remote().vm() + " ended before the answer: " + reason, REMEDY);
		for (Map.Entry<Long, Pending> each : this.pending.entrySet()) {
			if (each.getValue().connection() == connection) {
				fail(each, problem);
			}
		}
	}

	void expireOverdue() {
		long now = this.clock.millis();
		for (Map.Entry<Long, Pending> each : this.pending.entrySet()) {
			if (each.getValue().deadlineMillis() <= now) {
				fail(each, Problem.unknown(ProblemKind.DEADLINE_EXCEEDED,
						"entry " + each.getValue().connection().remote().vm() + " did not answer in time", REMEDY));
			}
		}
	}

	static CompletableFuture<Result<byte[]>> notSent(String detail) {
		return CompletableFuture.completedFuture(Result.failed(
				Problem.notRun(ProblemKind.UNAVAILABLE, detail, "repeat the request, or send it to another entry")));
	}

	private void fail(Map.Entry<Long, Pending> each, Problem problem) {
		if (this.pending.remove(each.getKey(), each.getValue())) {
			each.getValue().answer().complete(Result.failed(problem));
		}
	}

	private record Pending(PeerConnection connection, long deadlineMillis, CompletableFuture<Result<byte[]>> answer) {

	}

}
