package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineListener;
import io.bilberryvalve.daemon.engine.EngineStream;
import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.policy.outcome.DeliveryDecision;
import io.bilberryvalve.policy.outcome.ReplyPosition;
import io.bilberryvalve.policy.outcome.ReplySequencer;
import io.bilberryvalve.policy.outcome.TokenEvent;
import io.bilberryvalve.wire.proto.ResumeAnswer;
import io.bilberryvalve.wire.proto.ResumeRequest;
import io.bilberryvalve.wire.proto.ResumedToken;
import org.jspecify.annotations.Nullable;

/**
 * A reply of another entry that a caller continues here. Tokens come from the owner; if
 * the owner does not answer or does not know the request, they come from the engine named
 * in the last event.
 */
final class ResumedReply implements ReplyReader, EngineListener {

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	private static final int TOKENS_PER_CALL = 64;

	private final ReplyServices services;

	private final PeerNetwork peers;

	private final PipelineIndex index;

	private final ReplyRegistry registry;

	private final ClubId club;

	private final Mailbox mailbox = new Mailbox();

	private final ReplyLog log;

	private final CompletableFuture<Result<ReplyLog>> opened = new CompletableFuture<>();

	private final Instant created;

	private EventId last;

	private @Nullable ReplySequencer ledger;

	private @Nullable EngineStream stream;

	private Instant lastActivity;

	private int read;

	private boolean waiting;

	private boolean finished;

	private boolean joined;

	ResumedReply(ReplyServices services, PeerNetwork peers, PipelineIndex index, ReplyRegistry registry, ClubId club,
			EventId last) {
		this.services = services;
		this.peers = peers;
		this.index = index;
		this.registry = registry;
		this.club = club;
		this.last = last;
		this.read = last.index() + 1;
		this.log = new ReplyLog(this.read);
		this.created = services.clock().instant();
		this.lastActivity = this.created;
	}

	CompletionStage<Result<ReplyLog>> start() {
		this.registry.add(this);
		this.mailbox.run(() -> askOwner(true));
		return this.opened;
	}

	private void askOwner(boolean restart) {
		this.waiting = false;
		ResumeRequest request = ResumeRequest.newBuilder()
			.setRequest(this.last.request().toString())
			.setFrom(this.log.next())
			.setClub(this.club.value())
			.setLimit(TOKENS_PER_CALL)
			.setRestart(restart)
			.build();
		this.lastActivity = this.services.clock().instant();
		this.peers.call(this.last.request().entry(), MessageKind.RESUME, request.toByteArray(), CALL_TIMEOUT)
			.thenAccept((result) -> this.mailbox.run(() -> onAnswer(result)));
	}

	private void onAnswer(Result<byte[]> result) {
		if (this.finished) {
			return;
		}
		ResumeAnswer answer = (result instanceof Result.Ok<byte[]> ok) ? ResumeMessages.answer(ok.value())
				: ResumeAnswer.getDefaultInstance();
		if (answer.getStatus() != ResumeAnswer.Status.STATUS_FOUND) {
			askEngine();
			return;
		}
		for (ResumedToken token : answer.getTokensList()) {
			if (token.getIndex() == this.log.next()) {
				append(ResumeMessages.token(token));
			}
		}
		this.opened.complete(Result.ok(this.log));
		if (answer.getEnded()) {
			finish(answer.hasProblem() ? ResumeMessages.problem(answer.getProblem()) : null);
		}
		else if (windowOpen()) {
			askOwner(false);
		}
		else {
			this.waiting = true;
		}
	}

	private void append(ReplyToken token) {
		this.last = new EventId(this.last.request(), token.epoch(), token.index(), token.runner());
		this.log.append(token);
	}

	private void askEngine() {
		Runner runner = this.index.runner(this.last.runner());
		int layers = (runner != null) ? this.index.layers(runner.model()) : 0;
		if (runner == null || layers == 0) {
			finish(ReplyProblems.lost("neither the owner nor the engine of the reply is known"));
			return;
		}
		this.ledger = new ReplySequencer(layers, new ReplyPosition(this.last.epoch(), this.log.next()));
		this.lastActivity = this.services.clock().instant();
		EngineStream source = this.services.engines()
			.resume(runner.address(), this.last.request(), this.log.next(), this.club, this);
		this.stream = source;
		source.read();
	}

	@Override
	public void opened() {
		this.mailbox.run(() -> {
			this.lastActivity = this.services.clock().instant();
			this.opened.complete(Result.ok(this.log));
		});
	}

	@Override
	public void token(TokenEvent event) {
		this.mailbox.run(() -> onToken(event));
	}

	private void onToken(TokenEvent event) {
		ReplySequencer judge = this.ledger;
		if (this.finished || judge == null) {
			return;
		}
		DeliveryDecision verdict = judge.accept(event);
		if (verdict == DeliveryDecision.DELIVER) {
			this.lastActivity = this.services.clock().instant();
			append(new ReplyToken(event.index(), event.epoch(), this.last.runner(), event.text(),
					event.last() ? "stop" : null));
			if (event.last()) {
				finish(null);
			}
		}
		else if (verdict.failsAttempt()) {
			finish(ReplyProblems.lost("the engine sent an unusable event: " + verdict));
		}
	}

	@Override
	public void keepAlive() {
		this.mailbox.run(() -> this.lastActivity = this.services.clock().instant());
	}

	@Override
	public void consumed() {
		this.mailbox.run(() -> {
			this.waiting = !windowOpen();
			if (!this.waiting && this.stream != null) {
				this.stream.read();
			}
		});
	}

	@Override
	public void ended() {
		this.mailbox.run(() -> finish(ReplyProblems.lost("the engine ended the stream before the last token")));
	}

	@Override
	public void failed(EngineFailure failure) {
		this.mailbox.run(() -> finish(ReplyProblems.lost("the engine cannot continue the reply: " + failure.detail())));
	}

	@Override
	public void joined() {
		this.mailbox.run(() -> this.joined = true);
	}

	@Override
	public void read(int next) {
		this.mailbox.run(() -> {
			this.read = Math.max(this.read, next);
			if (this.finished || !this.waiting || !windowOpen()) {
				return;
			}
			this.waiting = false;
			this.lastActivity = this.services.clock().instant();
			if (this.stream != null) {
				this.stream.read();
			}
			else {
				askOwner(false);
			}
		});
	}

	@Override
	public void left() {
		this.mailbox.run(() -> finish(ReplyProblems.lost("the caller closed the connection")));
	}

	/**
	 * Checks the time limits.
	 */
	void tick() {
		this.mailbox.run(() -> {
			Instant patience = this.created.plus(this.services.settings().absence());
			if (!this.joined && this.opened.isDone() && patience.isBefore(this.services.clock().instant())) {
				finish(ReplyProblems.lost("no reader asked for the reply"));
				return;
			}
			Instant limit = this.lastActivity.plus(this.services.settings().progress());
			if (this.stream != null && !this.waiting && limit.isBefore(this.services.clock().instant())) {
				finish(ReplyProblems.lost("the engine went silent"));
			}
		});
	}

	private boolean windowOpen() {
		return this.log.next() - this.read < this.services.settings().window();
	}

	private void finish(@Nullable Problem problem) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.registry.remove(this);
		if (problem == null) {
			this.log.complete();
			return;
		}
		this.opened.complete(Result.failed(problem));
		this.log.fail(problem);
		if (this.stream != null) {
			this.stream.close();
		}
	}

}
