package io.bilberryvalve.daemon.reply;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineListener;
import io.bilberryvalve.daemon.engine.EngineStream;
import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.outcome.ReplyPosition;
import io.bilberryvalve.policy.outcome.ReplySequencer;
import io.bilberryvalve.policy.outcome.TokenEvent;
import io.bilberryvalve.policy.outcome.Verdict;
import io.bilberryvalve.wire.proto.ResumeAnswer;
import io.bilberryvalve.wire.proto.ResumeRequest;
import io.bilberryvalve.wire.proto.ResumedToken;
import org.jspecify.annotations.Nullable;

/**
 * A reply that another entry owns and a caller resumes at this entry. The tokens are
 * fetched from the owner; if the owner does not answer or does not know the request, they
 * are read from the engine of the runner named in the last event id. An owner or an
 * engine that falls silent may go on, so it is asked again and the reply ends only when
 * neither can continue it.
 */
final class ResumedReply implements ReplyReaderListener {

	private static final Logger LOGGER = System.getLogger(ResumedReply.class.getName());

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	private static final int TOKENS_PER_CALL = 64;

	/** Number of connections on which a silent engine may answer. */
	private static final int MAX_STREAMS = 2;

	private final ReplyServices services;

	private final PeerNetwork peers;

	private final PipelineIndex index;

	private final ReplyRegistry registry;

	private final ClubId club;

	private final SerialExecutor executor = new SerialExecutor();

	private final ReplyLog log;

	private final CompletableFuture<Result<ReplyLog>> opened = new CompletableFuture<>();

	private final Instant createdAt;

	private EventId lastEvent;

	private @Nullable ReplySequencer sequencer;

	private final List<EngineSource> sources = new ArrayList<>();

	private Instant lastActivityAt;

	private Instant lastAttemptAt;

	private boolean callInProgress;

	private boolean ownerSilent;

	private int readIndex;

	private boolean readingPaused;

	private boolean finished;

	private boolean readerAttached;

	ResumedReply(ReplyServices services, PeerNetwork peers, PipelineIndex index, ReplyRegistry registry, ClubId club,
			EventId last) {
		this.services = services;
		this.peers = peers;
		this.index = index;
		this.registry = registry;
		this.club = club;
		this.lastEvent = last;
		this.readIndex = last.index() + 1;
		this.log = new ReplyLog(this.readIndex);
		this.createdAt = services.clock().instant();
		this.lastActivityAt = this.createdAt;
		this.lastAttemptAt = this.createdAt;
	}

	CompletionStage<Result<ReplyLog>> start() {
		this.registry.add(this);
		this.executor.execute(() -> requestFromOwner(true));
		return this.opened;
	}

	private void requestFromOwner(boolean restart) {
		this.readingPaused = false;
		ResumeRequest request = ResumeRequest.newBuilder()
			.setRequest(this.lastEvent.request().toString())
			.setFrom(this.log.nextIndex())
			.setClub(this.club.value())
			.setLimit(TOKENS_PER_CALL)
			.setRestart(restart)
			.build();
		this.callInProgress = true;
		this.peers.call(this.lastEvent.request().entry(), MessageKind.RESUME, request.toByteArray(), CALL_TIMEOUT)
			.thenAccept((result) -> this.executor.execute(() -> handleAnswer(result)));
	}

	private void handleAnswer(Result<byte[]> result) {
		this.callInProgress = false;
		if (this.finished) {
			return;
		}
		// An owner that was sent the call and has not answered may do so later.
		this.ownerSilent = result instanceof Result.Failed<byte[]> failed
				&& failed.problem().outcome() != Outcome.NOT_RUN;
		try {
			ResumeAnswer answer = (result instanceof Result.Ok<byte[]> ok) ? ResumeMessages.answer(ok.value())
					: ResumeAnswer.getDefaultInstance();
			if (answer.getStatus() == ResumeAnswer.Status.STATUS_FOUND) {
				handleFound(answer);
				return;
			}
		}
		catch (IllegalArgumentException ex) {
			LogEvent.of("resume-answer-unreadable")
				.with("request", this.lastEvent.request())
				.with("error", ex)
				.log(LOGGER, Level.WARNING);
		}
		if (this.sources.isEmpty()) {
			resumeFromEngine();
		}
	}

	private void handleFound(ResumeAnswer answer) {
		recordActivity();
		closeSources(null);
		for (ResumedToken token : answer.getTokensList()) {
			if (token.getIndex() == this.log.nextIndex()) {
				append(ResumeMessages.token(token));
			}
		}
		this.opened.complete(Result.ok(this.log));
		if (answer.getEnded()) {
			finish(answer.hasProblem() ? ResumeMessages.problem(answer.getProblem()) : null);
		}
		else if (windowOpen()) {
			requestFromOwner(false);
		}
		else {
			this.readingPaused = true;
		}
	}

	private void append(ReplyToken token) {
		this.lastEvent = new EventId(this.lastEvent.request(), token.epoch(), token.index(), token.runner());
		this.log.append(token);
	}

	private void resumeFromEngine() {
		Runner runner = this.index.runner(this.lastEvent.runner());
		int layers = (runner != null) ? this.index.layers(runner.model()) : 0;
		if (runner == null || layers == 0) {
			endUnlessOwnerSilent("neither the owner nor the engine of the reply is known");
			return;
		}
		if (this.sources.isEmpty()) {
			this.sequencer = new ReplySequencer(layers,
					new ReplyPosition(this.lastEvent.epoch(), this.log.nextIndex()));
		}
		EngineSource source = new EngineSource();
		this.sources.add(source);
		this.lastAttemptAt = this.services.clock().instant();
		source.stream = this.services.engines()
			.resumeStream(runner.address(), this.lastEvent.request(), this.log.nextIndex(), this.club, source);
		source.read();
	}

	private void handleToken(EngineSource source, TokenEvent event) {
		ReplySequencer current = this.sequencer;
		if (this.finished || current == null) {
			return;
		}
		Verdict verdict = current.accept(event);
		if (verdict == Verdict.DELIVER) {
			recordActivity();
			closeSources(source);
			append(new ReplyToken(event.index(), event.epoch(), this.lastEvent.runner(), event.text(),
					event.last() ? "stop" : null));
			if (event.last()) {
				finish(null);
			}
		}
		else if (verdict.failsAttempt()) {
			source.close();
			handleFailure(source, "the engine sent an unusable event: " + verdict);
		}
	}

	private void handleFailure(EngineSource source, String detail) {
		if (this.sources.remove(source) && this.sources.isEmpty() && !this.finished) {
			endUnlessOwnerSilent(detail);
		}
	}

	private void endUnlessOwnerSilent(String detail) {
		if (!this.ownerSilent && !this.callInProgress) {
			finish(ReplyProblems.lost(detail));
		}
	}

	private void closeSources(@Nullable EngineSource kept) {
		for (EngineSource source : List.copyOf(this.sources)) {
			if (source != kept) {
				this.sources.remove(source);
				source.close();
			}
		}
	}

	private void recordActivity() {
		this.lastActivityAt = this.services.clock().instant();
		this.lastAttemptAt = this.lastActivityAt;
	}

	@Override
	public void onReaderAttached() {
		this.executor.execute(() -> this.readerAttached = true);
	}

	@Override
	public void onRead(int next) {
		this.executor.execute(() -> {
			this.readIndex = Math.max(this.readIndex, next);
			if (this.finished || !this.readingPaused || !windowOpen()) {
				return;
			}
			this.readingPaused = false;
			recordActivity();
			if (this.sources.isEmpty()) {
				requestFromOwner(false);
			}
			else {
				this.sources.forEach(EngineSource::read);
			}
		});
	}

	@Override
	public void onReaderDetached() {
		this.executor.execute(() -> finish(ReplyProblems.lost("the caller closed the connection")));
	}

	/**
	 * Ends the reply if a time limit has passed.
	 */
	void tick() {
		this.executor.execute(() -> {
			Instant readerDeadline = this.createdAt.plus(this.services.settings().readerTimeout());
			if (!this.readerAttached && this.opened.isDone()
					&& readerDeadline.isBefore(this.services.clock().instant())) {
				finish(ReplyProblems.lost("no reader asked for the reply"));
				return;
			}
			if (!this.finished && !this.readingPaused) {
				checkSilence(this.services.clock().instant());
			}
		});
	}

	private void checkSilence(Instant now) {
		if (this.lastActivityAt.plus(this.services.settings().defaultTimeout()).isBefore(now)) {
			finish(ReplyProblems.lost("neither the owner nor the engine of the reply answered in time"));
			return;
		}
		if (this.ownerSilent && !this.callInProgress) {
			requestFromOwner(true);
		}
		if (!this.sources.isEmpty() && this.sources.size() < MAX_STREAMS
				&& this.lastAttemptAt.plus(this.services.settings().progressTimeout()).isBefore(now)) {
			Runner runner = this.index.runner(this.lastEvent.runner());
			if (runner != null) {
				this.services.engines().reconnect(runner.address());
			}
			resumeFromEngine();
		}
	}

	private boolean windowOpen() {
		return this.log.nextIndex() - this.readIndex < this.services.settings().windowTokens();
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
		closeSources(null);
		this.opened.complete(Result.failed(problem));
		this.log.fail(problem);
	}

	/**
	 * A stream of the engine. Its events are handled by tasks of the
	 * {@link SerialExecutor}.
	 */
	private final class EngineSource implements EngineListener {

		private @Nullable EngineStream stream;

		private void read() {
			if (this.stream != null) {
				this.stream.read();
			}
		}

		private void close() {
			if (this.stream != null) {
				this.stream.close();
			}
		}

		private void post(Runnable task) {
			ResumedReply.this.executor.execute(() -> {
				if (ResumedReply.this.sources.contains(this)) {
					task.run();
				}
			});
		}

		@Override
		public void onOpened() {
			post(() -> {
				ResumedReply.this.lastAttemptAt = ResumedReply.this.services.clock().instant();
				ResumedReply.this.opened.complete(Result.ok(ResumedReply.this.log));
			});
		}

		@Override
		public void onToken(TokenEvent event) {
			post(() -> handleToken(this, event));
		}

		@Override
		public void onKeepAlive() {
			post(ResumedReply.this::recordActivity);
		}

		@Override
		public void onReadComplete() {
			post(() -> {
				ResumedReply.this.readingPaused = !windowOpen();
				if (!ResumedReply.this.readingPaused) {
					read();
				}
			});
		}

		@Override
		public void onEnded() {
			post(() -> handleFailure(this, "the engine ended the stream before the last token"));
		}

		@Override
		public void onFailed(EngineFailure failure) {
			post(() -> handleFailure(this, "the engine cannot continue the reply: " + failure.detail()));
		}

	}

}
