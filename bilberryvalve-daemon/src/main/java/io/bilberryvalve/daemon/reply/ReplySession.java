package io.bilberryvalve.daemon.reply;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.daemon.engine.StreamRequest;
import io.bilberryvalve.daemon.share.AdmissionControl.Permit;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.outcome.DispatchGate;
import io.bilberryvalve.policy.outcome.ReplyPosition;
import io.bilberryvalve.policy.outcome.ReplySequencer;
import io.bilberryvalve.policy.outcome.TokenEvent;
import io.bilberryvalve.policy.outcome.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * A reply that this entry owns. Sends the request to a chain of runners, appends the
 * tokens that the {@link ReplySequencer} accepts to the {@link ReplyLog}, and continues
 * on a repaired chain when an attempt fails. All state is changed by tasks of the
 * {@link SerialExecutor}, one at a time.
 */
final class ReplySession implements ReplyReaderListener {

	private static final Logger LOGGER = System.getLogger(ReplySession.class.getName());

	private final ReplyRequest request;

	private final ReplyServices services;

	private final ReplyRegistry registry;

	private final SerialExecutor executor = new SerialExecutor();

	private final DispatchGate gate = new DispatchGate();

	private final ReplySequencer sequencer;

	private final ReplyLog log = new ReplyLog(0);

	private final RepairPlanner repairPlanner;

	private final CompletableFuture<Result<ReplyLog>> opened = new CompletableFuture<>();

	private final ReaderTracker readerTracker;

	private final AttemptProgress progress;

	private Phase phase = Phase.IDLE;

	private @Nullable Permit permit;

	private @Nullable Attempt attempt;

	private final SilentAttempts silentAttempts = new SilentAttempts();

	private int lastEpoch;

	private boolean readingPaused;

	/**
	 * Creates a reply that has not started.
	 * @param request request that the reply belongs to
	 * @param services collaborators and settings
	 * @param registry retains the reply when it has ended
	 */
	ReplySession(ReplyRequest request, ReplyServices services, ReplyRegistry registry) {
		this(request, services, registry, new ReplyPosition(1, 0));
	}

	private ReplySession(ReplyRequest request, ReplyServices services, ReplyRegistry registry, ReplyPosition start) {
		this.request = request;
		this.services = services;
		this.registry = registry;
		this.sequencer = new ReplySequencer(request.layers(), start);
		this.lastEpoch = start.epoch();
		this.repairPlanner = new RepairPlanner(services, request);
		this.readerTracker = new ReaderTracker(now());
		this.progress = new AttemptProgress(services.clock(), services.settings());
	}

	/**
	 * Creates a reply that continues this one, which must have ended before it was
	 * complete. The new reply starts in the next epoch, after the delivered tokens.
	 * @param next the request with its new deadline
	 * @return the continuation, not started
	 */
	ReplySession continuation(ReplyRequest next) {
		ReplyPosition start = new ReplyPosition(this.lastEpoch + 1, this.log.nextIndex());
		ReplySession session = new ReplySession(next, this.services, this.registry, start);
		this.log.tokens(0, this.log.nextIndex()).forEach(session.log::append);
		if (this.gate.dispatched()) {
			// The request may have been run before, so a later failure must not report
			// the outcome not-run.
			session.gate.tryDispatch();
		}
		return session;
	}

	ReplyRequest request() {
		return this.request;
	}

	ReplyLog log() {
		return this.log;
	}

	void post(Runnable task) {
		this.executor.execute(task);
	}

	/**
	 * Starts the reply.
	 * @param granted permit to run, which this session releases
	 * @return completes with the log once an engine has accepted the request, or with the
	 * problem
	 */
	CompletionStage<Result<ReplyLog>> start(Permit granted) {
		post(() -> {
			if (this.phase != Phase.IDLE) {
				granted.release(0);
				return;
			}
			this.permit = granted;
			this.services.chains()
				.choose(this.request.key(), this.request.prompt())
				.ifPresentOrElse(this::startAttempt, () -> end(ReplyProblems.noChain(this.gate.closeAndGetOutcome())));
		});
		return this.opened;
	}

	/**
	 * Ends a reply that was not admitted.
	 * @param problem reason of the rejection
	 */
	void reject(Problem problem) {
		post(() -> end(ReplyProblems.withOutcome(problem, this.gate.closeAndGetOutcome())));
	}

	private void startAttempt(Chain chain) {
		if (!now().isBefore(this.request.deadline())) {
			end(ReplyProblems.deadlineExceeded(this.gate.closeAndGetOutcome()));
			return;
		}
		ReplyPosition position = new ReplyPosition(this.lastEpoch, this.sequencer.position().nextIndex());
		int tokens = this.request.estimatedPromptTokens() + position.nextIndex();
		Attempt next = new Attempt(this, position, chain, this.services.chains().startWork(chain, tokens));
		StreamRequest stream = new StreamRequest(this.request.id(), position.epoch(), this.request.caller().club(),
				this.request.key(), this.request.prompt(), this.log.texts(), this.request.maxTokens(),
				this.request.priority(), chain);
		this.attempt = next;
		this.phase = Phase.RUNNING;
		this.readingPaused = false;
		this.progress.startAttempt();
		next.attach(this.services.engines().openStream(stream, this.gate::tryDispatch, next));
		next.read();
	}

	void onOpened(Attempt source) {
		if (!isOpen(source)) {
			return;
		}
		if (source == this.attempt) {
			this.progress.recordActivity();
			this.silentAttempts.removeSharing(source.chain()).forEach((old) -> stop(old, true));
			advanceEpochIfAlone();
		}
		if (!this.opened.isDone()) {
			this.readerTracker.startIdleTimer(now());
			this.opened.complete(Result.ok(this.log));
		}
	}

	void onKeepAlive(Attempt source) {
		if (source == this.attempt) {
			this.progress.recordActivity();
		}
	}

	void onToken(Attempt source, TokenEvent event) {
		if (this.phase != Phase.ENDED && !isOpen(source)) {
			return;
		}
		ReplyPosition position = this.sequencer.position();
		boolean ahead = event.epoch() == source.epoch() && source.epoch() > position.epoch();
		if (event.epoch() == source.epoch() && event.index() == position.nextIndex()
				&& event.traceCovers(this.request.layers())) {
			select(source);
		}
		Verdict verdict = this.sequencer.accept(event);
		if (verdict == Verdict.DELIVER) {
			deliver(source, event);
		}
		else if (verdict.failsAttempt() || (ahead && event.index() >= position.nextIndex())) {
			onFailed(source, new EngineFailure(Kind.MALFORMED, null, "token event rejected: " + verdict));
		}
	}

	// Continues the reply with an attempt that has its next token, and ends the others.
	private void select(Attempt winner) {
		if (this.phase == Phase.ENDED) {
			return;
		}
		Attempt latest = this.attempt;
		List<Attempt> others = new ArrayList<>(this.silentAttempts.removeAll());
		if (others.remove(winner)) {
			this.attempt = winner;
			this.phase = Phase.RUNNING;
			this.readingPaused = false;
			log("reply-attempt-continued", Level.INFO, "epoch " + winner.epoch() + " went on after a silence");
		}
		if (latest != null && latest != winner) {
			others.add(latest);
		}
		others.forEach((other) -> stop(other, true));
		advanceEpoch(winner.epoch());
	}

	private void deliver(Attempt source, TokenEvent event) {
		this.progress.recordToken();
		source.work().onTokenDelivered();
		boolean full = event.index() + 1 >= this.request.maxTokens();
		String reason = full ? "length" : (event.last() ? "stop" : null);
		this.log.append(new ReplyToken(event.index(), event.epoch(), source.chain().first().runner().id(), event.text(),
				reason));
		this.readerTracker.completePolls(this.log);
		if (reason != null) {
			complete(source, event.last());
		}
	}

	void onReadComplete(Attempt source) {
		if (this.phase == Phase.ENDED) {
			source.read();
		}
		else if (source == this.attempt) {
			this.readingPaused = windowFull();
			if (!this.readingPaused) {
				source.read();
			}
		}
		else if (this.silentAttempts.contains(source)) {
			source.read();
		}
	}

	void onEnded(Attempt source) {
		onFailed(source, new EngineFailure(Kind.CLOSED, null, "the engine ended the stream before the last token"));
	}

	void onFailed(Attempt source, EngineFailure failure) {
		boolean sent = failure.kind() != Kind.REFUSED;
		if (this.silentAttempts.remove(source)) {
			stop(source, sent);
			advanceEpochIfAlone();
			return;
		}
		if (source != this.attempt || this.phase != Phase.RUNNING) {
			return;
		}
		this.attempt = null;
		stop(source, sent);
		repair(source, failure);
		advanceEpochIfAlone();
	}

	// Looks for a replacement of an attempt that may still go on.
	private void onSilent(Attempt source, EngineFailure failure) {
		if (source != this.attempt || this.phase != Phase.RUNNING || this.readingPaused) {
			return;
		}
		this.attempt = null;
		this.silentAttempts.add(source);
		repair(source, failure);
	}

	private void repair(Attempt failed, EngineFailure failure) {
		this.phase = Phase.REPAIRING;
		int epoch = ++this.lastEpoch;
		log("reply-attempt-failed", Level.WARNING, failure.kind() + ": " + failure.detail());
		this.repairPlanner.plan(failed, failure, epoch).thenAccept((result) -> post(() -> continueWith(epoch, result)));
	}

	private void continueWith(int epoch, Result<Chain> result) {
		if (this.phase != Phase.REPAIRING || epoch != this.lastEpoch) {
			return;
		}
		if (result instanceof Result.Ok<Chain> ok) {
			startAttempt(ok.value());
			return;
		}
		Problem problem = ((Result.Failed<Chain>) result).problem();
		if (this.silentAttempts.isEmpty()) {
			end(ReplyProblems.withOutcome(problem, this.gate.closeAndGetOutcome()));
			return;
		}
		// Nothing can replace the silent attempt, so it keeps its chance to go on.
		this.attempt = this.silentAttempts.removeLatest();
		this.phase = Phase.RUNNING;
		this.progress.resetTimers();
		log("reply-attempt-kept", Level.WARNING, problem.detail());
	}

	private void stop(Attempt source, boolean sent) {
		List<Attempt> open = new ArrayList<>(this.silentAttempts.list());
		if (this.attempt != null) {
			open.add(this.attempt);
		}
		source.stop(this.services.engines(), this.request, sent, open);
	}

	// Without an earlier attempt that could go on, no event of its epoch is accepted.
	private void advanceEpochIfAlone() {
		if (this.silentAttempts.isEmpty() && this.phase != Phase.ENDED) {
			advanceEpoch((this.attempt != null) ? this.attempt.epoch() : this.lastEpoch);
		}
	}

	private void advanceEpoch(int epoch) {
		while (this.sequencer.position().epoch() < epoch) {
			this.sequencer.advanceEpoch();
		}
	}

	private boolean isOpen(Attempt source) {
		return source == this.attempt || this.silentAttempts.contains(source);
	}

	private void complete(Attempt source, boolean lastSeen) {
		source.work().end(true);
		this.sequencer.end();
		if (!lastSeen) {
			this.attempt = null;
			stop(source, true);
		}
		this.phase = Phase.ENDED;
		releasePermit();
		this.log.complete();
		this.readerTracker.completePolls(this.log);
		this.registry.retain(this);
		log("reply-completed", Level.DEBUG, null);
	}

	private void end(Problem problem) {
		List<Attempt> running = new ArrayList<>(this.silentAttempts.removeAll());
		if (this.attempt != null) {
			running.add(this.attempt);
			this.attempt = null;
		}
		running.forEach((each) -> stop(each, this.gate.dispatched()));
		this.phase = Phase.ENDED;
		this.sequencer.end();
		releasePermit();
		this.opened.complete(Result.failed(problem));
		this.log.fail(problem);
		this.readerTracker.completePolls(this.log);
		this.registry.retain(this);
		log("reply-failed", Level.WARNING, problem.toString());
	}

	private void releasePermit() {
		Permit held = this.permit;
		if (held != null) {
			this.permit = null;
			held.release(this.gate.dispatched() ? this.request.estimatedPromptTokens() + this.log.nextIndex() : 0);
		}
	}

	@Override
	public void onReaderAttached() {
		post(() -> this.readerTracker.attach(now()));
	}

	@Override
	public void onRead(int next) {
		post(() -> {
			this.readerTracker.advance(next, now());
			resumeReading();
		});
	}

	@Override
	public void onReaderDetached() {
		post(this.readerTracker::detach);
		cancelIfUnread();
	}

	/**
	 * Waits for tokens on behalf of another entry.
	 * @param from index of the first token wanted
	 * @return completes when such a token exists or the reply has ended, at the latest
	 * with the next {@link #tick()}
	 */
	CompletionStage<ReplyLog> poll(int from) {
		CompletableFuture<ReplyLog> answer = new CompletableFuture<>();
		post(() -> {
			this.readerTracker.addPoll(from, now(), answer);
			resumeReading();
			if (this.log.nextIndex() > from || this.log.ended()) {
				this.readerTracker.completePolls(this.log);
			}
		});
		return answer;
	}

	// Ends the reply if it has no reader.
	void cancelIfUnread() {
		post(() -> {
			if (inProgress() && this.readerTracker.hasNoReaders(this.services.settings().readerTimeout(), now())) {
				end(ReplyProblems.abandoned(this.gate.closeAndGetOutcome()));
			}
		});
	}

	private void resumeReading() {
		Attempt running = this.attempt;
		if (this.readingPaused && running != null && !windowFull()) {
			this.readingPaused = false;
			this.progress.resetTimers();
			running.read();
		}
	}

	// Ends or repairs the reply if a time limit has passed.
	void tick() {
		post(this::checkTimes);
	}

	private void checkTimes() {
		this.readerTracker.completePolls(this.log);
		if (!inProgress()) {
			return;
		}
		Attempt running = this.attempt;
		if (!now().isBefore(this.request.deadline())) {
			end(ReplyProblems.deadlineExceeded(this.gate.closeAndGetOutcome()));
		}
		else if (this.opened.isDone() && this.readerTracker.isIdle(this.services.settings().readerTimeout(), now())) {
			end(ReplyProblems.abandoned(this.gate.closeAndGetOutcome()));
		}
		else if (running != null && !this.readingPaused && this.progress.isSilent()) {
			this.services.engines().reconnect(running.chain().first().runner().address());
			onSilent(running, new EngineFailure(Kind.SILENT, null, "neither token nor keep-alive arrived in time"));
		}
		else if (running != null && !this.readingPaused && this.progress.tryStartProbe()) {
			probeStages(running);
		}
	}

	// Asks every stage for an answer, because the first one sends keep-alives even if a
	// later one hangs.
	private void probeStages(Attempt running) {
		ChainHealth.probe(this.services.engines(), running.chain()).thenAccept((health) -> {
			if (!health.unreachable().isEmpty()) {
				post(() -> onSilent(running, new EngineFailure(Kind.STAGE, health.unreachable().iterator().next(),
						"the stage does not answer")));
			}
		});
	}

	private void log(String event, Level level, @Nullable String detail) {
		LogEvent.of(event)
			.with("request", this.request.id())
			.with("epoch", this.lastEpoch)
			.with("tokens", this.log.nextIndex())
			.with("dropped", this.sequencer.droppedCount())
			.with("detail", detail)
			.log(LOGGER, level);
	}

	private boolean windowFull() {
		return this.log.nextIndex() - this.readerTracker.position() >= this.services.settings().windowTokens();
	}

	private boolean inProgress() {
		return this.phase == Phase.RUNNING || this.phase == Phase.REPAIRING;
	}

	private Instant now() {
		return this.services.clock().instant();
	}

	private enum Phase {

		IDLE, RUNNING, REPAIRING, ENDED

	}

}
