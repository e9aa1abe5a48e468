package io.bilberryvalve.daemon.call;

import java.time.Duration;

import com.google.protobuf.ByteString;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.wire.proto.CallMessages.CallProblem;
import io.bilberryvalve.wire.proto.CallMessages.KeyReply;

/**
 * Converts the results of forwarded calls to and from the messages between entries.
 */
final class CallMessageCodec {

	private CallMessageCodec() {
	}

	static KeyReply encode(Result<CallReply> result) {
		KeyReply.Builder reply = KeyReply.newBuilder();
		if (result instanceof Result.Ok<CallReply> ok) {
			CallResult value = ok.value().result();
			reply.getResultBuilder()
				.setStatus(value.status())
				.setContentType(value.contentType())
				.setBody(ByteString.copyFrom(value.body()))
				.setRepeated(ok.value().repeated());
		}
		else if (result instanceof Result.Failed<CallReply> failed) {
			reply.setProblem(problem(failed.problem()));
		}
		return reply.build();
	}

	private static CallProblem problem(Problem problem) {
		Duration after = problem.retryAfter();
		return CallProblem.newBuilder()
			.setKind(problem.kind().name())
			.setOutcome(problem.outcome().name())
			.setDetail(problem.detail())
			.setRemedy(problem.remedy())
			.setRetryAfterMillis((after != null) ? after.toMillis() : 0)
			.build();
	}

	static Result<CallReply> decode(KeyReply reply) {
		if (reply.hasResult()) {
			var value = reply.getResult();
			return Result.ok(new CallReply(
					new CallResult(value.getStatus(), value.getContentType(), value.getBody().toByteArray()),
					value.getRepeated()));
		}
		if (!reply.hasProblem()) {
			throw new IllegalArgumentException("the reply contains neither a result nor a problem");
		}
		CallProblem problem = reply.getProblem();
		long millis = problem.getRetryAfterMillis();
		return Result.failed(new Problem(ProblemKind.valueOf(problem.getKind()), Outcome.valueOf(problem.getOutcome()),
				problem.getDetail(), problem.getRemedy(), (millis > 0) ? Duration.ofMillis(millis) : null));
	}

}
