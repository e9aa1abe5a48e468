package io.bilberryvalve.daemon.reply;

import java.time.Duration;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.wire.proto.ResumeAnswer;
import io.bilberryvalve.wire.proto.ResumeProblem;
import io.bilberryvalve.wire.proto.ResumeRequest;
import io.bilberryvalve.wire.proto.ResumedToken;
import org.jspecify.annotations.Nullable;

/**
 * Converts between replies and the messages with which one entry resumes a reply that
 * another entry owns.
 */
final class ResumeMessages {

	private ResumeMessages() {
	}

	static ResumeRequest request(byte[] body) {
		try {
			return ResumeRequest.parseFrom(body);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("resume request cannot be parsed", ex);
		}
	}

	static ResumeAnswer answer(byte[] body) {
		try {
			return ResumeAnswer.parseFrom(body);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("resume answer cannot be parsed", ex);
		}
	}

	static ResumeAnswer answer(ReplyLog log, int from, int limit) {
		ResumeAnswer.Builder answer = ResumeAnswer.newBuilder().setStatus(ResumeAnswer.Status.STATUS_FOUND);
		// The end must be read before the tokens: all tokens are appended before the end
		// is set, so none is missed.
		boolean ended = log.ended();
		log.tokens(from, limit).forEach((token) -> answer.addTokens(token(token)));
		if (ended && from + answer.getTokensCount() >= log.nextIndex()) {
			answer.setEnded(true);
			Problem problem = log.problem();
			if (problem != null) {
				answer.setProblem(problem(problem));
			}
		}
		return answer.build();
	}

	static ReplyToken token(ResumedToken token) {
		@Nullable String reason = token.getFinishReason().isEmpty() ? null : token.getFinishReason();
		return new ReplyToken(token.getIndex(), token.getEpoch(), new RunnerId(token.getRunner()), token.getText(),
				reason);
	}

	static Problem problem(ResumeProblem problem) {
		Duration retryAfter = (problem.getRetryAfterMillis() > 0) ? Duration.ofMillis(problem.getRetryAfterMillis())
				: null;
		return new Problem(ProblemKind.valueOf(problem.getKind()), Outcome.valueOf(problem.getOutcome()),
				problem.getDetail(), problem.getRemedy(), retryAfter);
	}

	private static ResumedToken token(ReplyToken token) {
		return ResumedToken.newBuilder()
			.setIndex(token.index())
			.setEpoch(token.epoch())
			.setRunner(token.runner().value())
			.setText(token.text())
			.setFinishReason((token.finishReason() != null) ? token.finishReason() : "")
			.build();
	}

	private static ResumeProblem problem(Problem problem) {
		return ResumeProblem.newBuilder()
			.setKind(problem.kind().name())
			.setOutcome(problem.outcome().name())
			.setDetail(problem.detail())
			.setRemedy(problem.remedy())
			.setRetryAfterMillis((problem.retryAfter() != null) ? problem.retryAfter().toMillis() : 0)
			.build();
	}

}
