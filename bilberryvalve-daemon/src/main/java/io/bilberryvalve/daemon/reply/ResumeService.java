package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.daemon.share.AdmissionControl.AdmissionRequest;
import io.bilberryvalve.daemon.share.AdmissionControl.Permit;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.wire.proto.ResumeAnswer;
import io.bilberryvalve.wire.proto.ResumeRequest;

/**
 * Resumes replies after the last event that a caller received, for callers of this entry
 * and on behalf of other entries.
 */
final class ResumeService {

	private static final int MAX_TOKENS_PER_ANSWER = 256;

	private final ReplyServices services;

	private final ReplyRegistry registry;

	private final PeerNetwork peers;

	private final PipelineIndex index;

	private final VmId self;

	ResumeService(ReplyServices services, ReplyRegistry registry, PeerNetwork peers, PipelineIndex index, VmId self) {
		this.services = services;
		this.registry = registry;
		this.peers = peers;
		this.index = index;
		this.self = self;
		peers.setResponder(MessageKind.RESUME, (sender, body) -> answer(ResumeMessages.request(body)));
	}

	/**
	 * Resumes a reply.
	 * @param club club of the caller
	 * @param last the last event that the caller received
	 * @return completes with the resumed reply, or with the problem
	 */
	CompletionStage<Result<OpenReply>> resume(ClubId club, EventId last) {
		Optional<ReplySession> owned = this.registry.find(last.request(), club);
		if (owned.isPresent()) {
			ReplySession session = continueIfFailed(owned.get());
			if (last.index() >= session.log().nextIndex()) {
				return CompletableFuture.completedFuture(
						Result.failed(ReplyProblems.lost("token " + last.index() + " has not been delivered yet")));
			}
			return CompletableFuture.completedFuture(Result.ok(new OpenReply(session.log(), session)));
		}
		if (last.request().entry().equals(this.self) && this.registry.contains(last.request())) {
			return CompletableFuture
				.completedFuture(Result.failed(ReplyProblems.lost("this club has no reply with the request id")));
		}
		if (last.index() == Integer.MAX_VALUE) {
			return CompletableFuture
				.completedFuture(Result.failed(ReplyProblems.lost("no token can follow token " + last.index())));
		}
		ResumedReply reply = new ResumedReply(this.services, this.peers, this.index, this.registry, club, last);
		return reply.start().thenApply((result) -> result.flatMap((log) -> Result.ok(new OpenReply(log, reply))));
	}

	private CompletionStage<byte[]> answer(ResumeRequest request) {
		Optional<ReplySession> found = this.registry.find(RequestId.parse(request.getRequest()),
				new ClubId(request.getClub()));
		if (found.isEmpty() || request.getFrom() < 0) {
			return CompletableFuture.completedFuture(ResumeAnswer.getDefaultInstance().toByteArray());
		}
		ReplySession session = request.getRestart() ? continueIfFailed(found.get()) : found.get();
		int limit = Math.max(1, Math.min(request.getLimit(), MAX_TOKENS_PER_ANSWER));
		return session.poll(request.getFrom())
			.thenApply((log) -> ResumeMessages.answer(log, request.getFrom(), limit).toByteArray());
	}

	// Returns the reply, or its continuation if it ended before it was complete.
	private ReplySession continueIfFailed(ReplySession session) {
		if (session.log().problem() == null) {
			return session;
		}
		Duration timeout = this.services.settings().defaultTimeout();
		ReplyRequest request = session.request().withDeadline(this.services.clock().instant().plus(timeout));
		ReplySession next = session.continuation(request);
		if (!this.registry.replace(session, next)) {
			return this.registry.find(request.id(), request.caller().club()).orElse(session);
		}
		int cost = request.estimatedPromptTokens() + request.maxTokens() - next.log().nextIndex();
		this.services.admission()
			.admit(new AdmissionRequest(request.caller().club(), request.caller().team(), cost, request.priority(),
					timeout))
			.thenAccept((result) -> start(next, result));
		return next;
	}

	private static void start(ReplySession session, Result<Permit> result) {
		if (result instanceof Result.Ok<Permit> ok) {
			session.start(ok.value());
		}
		else {
			session.reject(((Result.Failed<Permit>) result).problem());
		}
	}

}
