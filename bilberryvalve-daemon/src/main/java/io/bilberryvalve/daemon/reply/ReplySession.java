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
import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.daemon.engine.StreamOrder;
import io.bilberryvalve.daemon.share.AdmissionControl.Permit;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.outcome.DispatchGate;
import io.bilberryvalve.policy.outcome.ReplyLedger;
import io.bilberryvalve.policy.outcome.ReplyPosition;
import io.bilberryvalve.policy.outcome.TokenEvent;
import io.bilberryvalve.policy.outcome.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * A reply that this entry owns. It sends the request along a chain, delivers the tokens
 * that the ledger accepts into the log, and repairs the chain when the attempt fails. All
 * state is changed by tasks of the mailbox, one at a time.
 */
final class ReplySession implements ReplyReader {

	private static final Logger LOGGER = System.getLogger(ReplySession.class.getName());

	private final ReplyOrder order;

	private final ReplyServices services;

	private final ReplyRegistry registry;

	private final Mailbox mailbox = new Mailbox();

	private final DispatchGate gate = new DispatchGate();

	private final ReplyLedger ledger;

	private final ReplyLog log = new ReplyLog(0);

	private final Repair repair;

	private final CompletableFuture<Result<ReplyLog>> opened = new CompletableFuture<>();

	private final List<CompletableFuture<ReplyLog>> waiters = new ArrayList<>();

	private Phase phase = Phase.IDLE;

	private @Nullable Permit permit;

	private @Nullable Attempt attempt;

	private int readers;

	private int read;

	private boolean paused;

	private Instant lastPoll = Instant.MIN;

	private Instant lastActivity;

	private Instant lastToken;

	private Instant lastRead;

	/**
	 * Creates a reply that has not started.
	 * @param order the request
	 * @param services the services
	 * @param registry told when the reply ends
	 */
	ReplySession(ReplyOrder order, ReplyServices services, ReplyRegistry registry) {
		this(order, services, registry, new ReplyPosition(1, 0));
	}

	private ReplySession(ReplyOrder order, ReplyServices services, ReplyRegistry registry, ReplyPosition start) {
		this.order = order;
		this.services = services;
		this.registry = registry;
		this.ledger = new ReplyLedger(order.layers(), start);
		this.repair = new Repair(services, order);
		this.lastActivity = now();
		this.lastToken = this.lastActivity;
		this.lastRead = this.lastActivity;
	}

	/**
	 * Creates a reply that continues this one, which has ended before it was complete. It
	 * starts in the next epoch after the delivered tokens.
	 * @param next the request with its new deadline
	 * @return the continuation, not started
	 */
	ReplySession continuation(ReplyOrder next) {
		ReplyPosition position = this.ledger.position();
		ReplyPosition start = new ReplyPosition(position.epoch() + 1, this.log.next());
		ReplySession session = new ReplySession(next, this.services, this.registry, start);
		this.log.tokens(0, this.log.next()).forEach(session.log::append);
		if (this.gate.dispatched()) {
			// The request as a whole may have run, so no later failure may claim
			// otherwise.
			session.gate.dispatch();
		}
		return session;
	}

	ReplyOrder order() {
		return this.order;
	}

	ReplyLog log() {
		return this.log;
	}

	ReplyLedger ledger() {
		return this.ledger;
	}

	void post(Runnable task) {
		this.mailbox.run(task);
	}

	/**
	 * Starts the reply.
	 * @param granted permit to run; the session releases it
	 * @return the log once an engine accepted the request, or the problem
	 */
	CompletionStage<Result<ReplyLog>> start(Permit granted) {
		post(() -> {
			if (this.phase != Phase.IDLE) {
				granted.release(0);
				return;
			}
			this.permit = granted;
			this.lastRead = now();
			this.services.chains()
				.choose(this.order.key(), this.order.prompt())
				.ifPresentOrElse(this::begin, () -> end(ReplyProblems.noChain(this.gate.closingOutcome())));
		});
		return this.opened;
	}

	/**
	 * Ends a reply that was not admitted.
	 * @param problem why not
	 */
	void refuse(Problem problem) {
		post(() -> end(new Problem(problem.kind(), this.gate.closingOutcome(), problem.detail(), problem.remedy(),
				problem.retryAfter())));
	}

	private void begin(Chain chain) {
		if (!now().isBefore(this.order.deadline())) {
			end(ReplyProblems.deadline(this.gate.closingOutcome()));
			return;
		}
		ReplyPosition position = this.ledger.position();
		int tokens = this.order.promptTokens() + position.next();
		Attempt next = new Attempt(this, position, chain, this.services.chains().dispatched(chain, tokens));
		StreamOrder stream = new StreamOrder(this.order.id(), position.epoch(), this.order.caller().club(),
				this.order.key(), this.order.prompt(), this.log.texts(), this.order.maxTokens(), this.order.priority(),
				chain);
		this.attempt = next;
		this.phase = Phase.RUNNING;
		this.paused = false;
		this.lastActivity = now();
		this.lastToken = this.lastActivity;
		next.attach(this.services.engines().open(stream, this.gate::dispatch, next));
		next.read();
	}

	void onOpened(Attempt source) {
		if (source == this.attempt) {
			this.lastActivity = now();
			this.opened.complete(Result.ok(this.log));
		}
	}

	void onKeepAlive(Attempt source) {
		if (source == this.attempt) {
			this.lastActivity = now();
		}
	}

	void onToken(Attempt source, TokenEvent event) {
		Verdict verdict = this.ledger.accept(event);
		if (verdict == Verdict.DELIVER) {
			deliver(source, event);
		}
		else if (verdict.fault()) {
			onFailed(source, new EngineFailure(Kind.MALFORMED, null, "token event rejected: " + verdict));
		}
	}

	private void deliver(Attempt source, TokenEvent event) {
		this.lastActivity = now();
		this.lastToken = this.lastActivity;
		source.work().delivered();
		boolean full = event.index() + 1 >= this.order.maxTokens();
		String reason = full ? "length" : (event.last() ? "stop" : null);
		this.log.append(new ReplyToken(event.index(), event.epoch(), source.chain().first().runner().id(), event.text(),
				reason));
		answerWaiters();
		if (reason != null) {
			complete(source, event.last());
		}
	}

	void onConsumed(Attempt source) {
		if (this.phase == Phase.ENDED) {
			source.read();
		}
		else if (source == this.attempt) {
			this.paused = this.log.next() - this.read >= this.services.settings().window();
			if (!this.paused) {
				source.read();
			}
		}
	}

	void onEnded(Attempt source) {
		onFailed(source, new EngineFailure(Kind.CLOSED, null, "the engine ended the stream before the last token"));
	}

	void onFailed(Attempt source, EngineFailure failure) {
		if (source != this.attempt || this.phase != Phase.RUNNING) {
			return;
		}
		stopAttempt(source, failure.kind() != Kind.REFUSED);
		this.phase = Phase.REPAIRING;
		int next = this.ledger.advance().epoch();
		LogEvent.of("reply-attempt-failed")
			.with("request", this.order.id())
			.with("epoch", source.epoch())
			.with("kind", failure.kind())
			.with("runner", failure.runner())
			.with("detail", failure.detail())
			.log(LOGGER, Level.WARNING);
		this.repair.plan(source, failure, next).thenAccept((result) -> post(() -> continueWith(result)));
	}

	private void continueWith(Result<Chain> result) {
		if (this.phase != Phase.REPAIRING) {
			return;
		}
		if (result instanceof Result.Ok<Chain> ok) {
			begin(ok.value());
			return;
		}
		Outcome outcome = this.gate.closingOutcome();
		Problem problem = ((Result.Failed<Chain>) result).problem();
		end(new Problem(problem.kind(), outcome, problem.detail(), problem.remedy(), problem.retryAfter()));
	}

	private void stopAttempt(Attempt source, boolean sent) {
		this.attempt = null;
		source.work().end(false);
		source.close();
		if (sent) {
			for (Stage stage : source.chain().stages()) {
				this.services.engines().cancel(stage.runner().address(), this.order.id(), source.epoch());
			}
		}
	}

	private void complete(Attempt source, boolean lastSeen) {
		source.work().end(true);
		this.ledger.end();
		if (!lastSeen) {
			stopAttempt(source, true);
		}
		this.phase = Phase.ENDED;
		release();
		this.log.complete();
		answerWaiters();
		this.registry.ended(this);
		LogEvent.of("reply-completed")
			.with("request", this.order.id())
			.with("tokens", this.log.next())
			.with("epoch", source.epoch())
			.with("dropped", this.ledger.dropped())
			.log(LOGGER, Level.DEBUG);
	}

	private void end(Problem problem) {
		Attempt running = this.attempt;
		if (running != null) {
			stopAttempt(running, true);
		}
		this.phase = Phase.ENDED;
		this.ledger.end();
		release();
		this.opened.complete(Result.failed(problem));
		this.log.fail(problem);
		answerWaiters();
		this.registry.ended(this);
		LogEvent.of("reply-failed")
			.with("request", this.order.id())
			.with("tokens", this.log.next())
			.with("problem", problem.kind().text())
			.with("outcome", problem.outcome().text())
			.log(LOGGER, Level.WARNING);
	}

	private void release() {
		Permit held = this.permit;
		if (held != null) {
			this.permit = null;
			held.release(this.gate.dispatched() ? this.order.promptTokens() + this.log.next() : 0);
		}
	}

	/**
	 * Adds a reader. Call it before the reader subscribes.
	 */
	void join() {
		post(() -> {
			this.readers++;
			this.lastRead = now();
		});
	}

	@Override
	public void read(int next) {
		post(() -> {
			this.read = Math.max(this.read, next);
			this.lastRead = now();
			resumeReading();
		});
	}

	@Override
	public void left() {
		post(() -> {
			this.readers--;
			if (this.readers <= 0 && older(this.lastPoll, this.services.settings().absence(), now())) {
				giveUp();
			}
		});
	}

	/**
	 * Waits for tokens on behalf of another entry.
	 * @param from index of the first token wanted
	 * @return completes when such a token exists, the reply has ended, or a short time
	 * has passed
	 */
	CompletionStage<ReplyLog> poll(int from) {
		CompletableFuture<ReplyLog> answer = new CompletableFuture<>();
		post(() -> {
			this.lastPoll = now();
			read(from);
			this.waiters.add(answer);
			if (this.log.next() > from || this.log.ended()) {
				answerWaiters();
			}
		});
		return answer;
	}

	private void answerWaiters() {
		List<CompletableFuture<ReplyLog>> answered = List.copyOf(this.waiters);
		this.waiters.clear();
		answered.forEach((waiter) -> waiter.complete(this.log));
	}

	/**
	 * The caller went away before the reply opened.
	 */
	void abandon() {
		post(() -> {
			if (this.readers <= 0) {
				giveUp();
			}
		});
	}

	private void resumeReading() {
		Attempt running = this.attempt;
		if (this.paused && running != null && this.log.next() - this.read < this.services.settings().window()) {
			this.paused = false;
			this.lastActivity = now();
			this.lastToken = this.lastActivity;
			running.read();
		}
	}

	private void giveUp() {
		if (this.phase == Phase.RUNNING || this.phase == Phase.REPAIRING) {
			end(ReplyProblems.abandoned(this.gate.closingOutcome()));
		}
	}

	/**
	 * Checks the time limits. Called often while the reply is in progress.
	 */
	void tick() {
		post(this::checkTimes);
	}

	private void checkTimes() {
		answerWaiters();
		if (this.phase != Phase.RUNNING && this.phase != Phase.REPAIRING) {
			return;
		}
		Instant now = now();
		ReplySettings settings = this.services.settings();
		Attempt running = this.attempt;
		if (!now.isBefore(this.order.deadline())) {
			end(ReplyProblems.deadline(this.gate.closingOutcome()));
		}
		else if (this.readers <= 0 && this.opened.isDone() && older(this.lastRead, settings.absence(), now)) {
			giveUp();
		}
		else if (running != null && !this.paused && older(this.lastActivity, settings.progress(), now)) {
			this.services.engines().reconnect(running.chain().first().runner().address());
			onFailed(running, new EngineFailure(Kind.SILENT, null, "neither token nor keep-alive arrived in time"));
		}
		else if (running != null && !this.paused && older(this.lastToken, stallLimit(running), now)) {
			this.lastToken = now;
			probe(running);
		}
	}

	private Duration stallLimit(Attempt running) {
		boolean started = this.log.next() > running.from();
		return started ? this.services.settings().stall() : this.services.settings().firstStall();
	}

	// The first stage sends keep-alives even if a later stage hangs, so the later ones
	// are
	// asked when tokens stop.
	private void probe(Attempt running) {
		Diagnosis.probe(this.services.engines(), running.chain()).thenAccept((diagnosis) -> {
			if (!diagnosis.unreachable().isEmpty()) {
				post(() -> onFailed(running, new EngineFailure(Kind.STAGE, diagnosis.unreachable().iterator().next(),
						"the stage does not answer")));
			}
		});
	}

	private static boolean older(Instant time, Duration limit, Instant now) {
		return time.plus(limit).isBefore(now);
	}

	private Instant now() {
		return this.services.clock().instant();
	}

	private enum Phase {

		IDLE, RUNNING, REPAIRING, ENDED

	}

}
