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
 * Continues replies after the last event that a caller received, for callers of this
 * entry and for other entries.
 */
final class ResumeService {

	private static final int MAX_TOKENS = 256;

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
		peers.answer(MessageKind.RESUME, (sender, body) -> answer(ResumeMessages.request(body)));
	}

	/**
	 * Continues a reply.
	 * @param club club of the caller
	 * @param last the last event that the caller received
	 * @return the continuation, or the problem
	 */
	CompletionStage<Result<OpenReply>> resume(ClubId club, EventId last) {
		Optional<ReplySession> owned = this.registry.find(last.request(), club);
		if (owned.isPresent()) {
			ReplySession session = current(owned.get());
			if (last.index() >= session.log().next()) {
				return CompletableFuture.completedFuture(
						Result.failed(ReplyProblems.lost("token " + last.index() + " was not delivered yet")));
			}
			return CompletableFuture.completedFuture(Result.ok(new OpenReply(session.log(), session)));
		}
		if (last.request().entry().equals(this.self) && this.registry.known(last.request())) {
			return CompletableFuture
				.completedFuture(Result.failed(ReplyProblems.lost("the reply is not kept for this club")));
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
		ReplySession session = request.getRestart() ? current(found.get()) : found.get();
		int limit = Math.max(1, Math.min(request.getLimit(), MAX_TOKENS));
		return session.poll(request.getFrom())
			.thenApply((log) -> ResumeMessages.answer(log, request.getFrom(), limit).toByteArray());
	}

	// Returns the reply, or its continuation if it ended before it was complete.
	private ReplySession current(ReplySession session) {
		if (session.log().problem() == null) {
			return session;
		}
		Duration timeout = this.services.settings().defaultTimeout();
		ReplyOrder order = session.order().until(this.services.clock().instant().plus(timeout));
		ReplySession next = session.continuation(order);
		if (!this.registry.replace(session, next)) {
			return this.registry.find(order.id(), order.caller().club()).orElse(session);
		}
		int cost = order.promptTokens() + order.maxTokens() - next.log().next();
		this.services.admission()
			.admit(new AdmissionRequest(order.caller().club(), order.caller().team(), cost, order.priority(), timeout))
			.thenAccept((result) -> start(next, result));
		return next;
	}

	private static void start(ReplySession session, Result<Permit> result) {
		if (result instanceof Result.Ok<Permit> ok) {
			session.start(ok.value());
		}
		else {
			session.refuse(((Result.Failed<Permit>) result).problem());
		}
	}

}
