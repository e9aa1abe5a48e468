package io.bilberryvalve.daemon.reply;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.daemon.engine.StreamOrder;
import io.bilberryvalve.daemon.share.AdmissionControl.Permit;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.outcome.DeliveryDecision;
import io.bilberryvalve.policy.outcome.DispatchGate;
import io.bilberryvalve.policy.outcome.ReplyPosition;
import io.bilberryvalve.policy.outcome.ReplySequencer;
import io.bilberryvalve.policy.outcome.TokenEvent;
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

	private final ReplySequencer ledger;

	private final ReplyLog log = new ReplyLog(0);

	private final Repair repair;

	private final CompletableFuture<Result<ReplyLog>> opened = new CompletableFuture<>();

	private final ReplyReaders readers;

	private final ReplyTimes times;

	private Phase phase = Phase.IDLE;

	private @Nullable Permit permit;

	private @Nullable Attempt attempt;

	private boolean paused;

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
		this.ledger = new ReplySequencer(order.layers(), start);
		this.repair = new Repair(services, order);
		this.readers = new ReplyReaders(now());
		this.times = new ReplyTimes(services.clock(), services.settings());
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
			session.gate.tryDispatch();
		}
		return session;
	}

	ReplyOrder order() {
		return this.order;
	}

	ReplyLog log() {
		return this.log;
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
			this.services.chains()
				.choose(this.order.key(), this.order.prompt())
				.ifPresentOrElse(this::begin, () -> end(ReplyProblems.noChain(this.gate.closeAndGetOutcome())));
		});
		return this.opened;
	}

	/**
	 * Ends a reply that was not admitted.
	 * @param problem why not
	 */
	void refuse(Problem problem) {
		post(() -> end(ReplyProblems.with(problem, this.gate.closeAndGetOutcome())));
	}

	private void begin(Chain chain) {
		if (!now().isBefore(this.order.deadline())) {
			end(ReplyProblems.deadline(this.gate.closeAndGetOutcome()));
			return;
		}
		ReplyPosition position = this.ledger.position();
		int tokens = this.order.promptTokens() + position.nextIndex();
		Attempt next = new Attempt(this, position, chain, this.services.chains().dispatched(chain, tokens));
		StreamOrder stream = new StreamOrder(this.order.id(), position.epoch(), this.order.caller().club(),
				this.order.key(), this.order.prompt(), this.log.texts(), this.order.maxTokens(), this.order.priority(),
				chain);
		this.attempt = next;
		this.phase = Phase.RUNNING;
		this.paused = false;
		this.times.begin();
		next.attach(this.services.engines().open(stream, this.gate::tryDispatch, next));
		next.read();
	}

	void onOpened(Attempt source) {
		if (source == this.attempt) {
			this.times.alive();
			if (!this.opened.isDone()) {
				this.readers.expect(now());
				this.opened.complete(Result.ok(this.log));
			}
		}
	}

	void onKeepAlive(Attempt source) {
		if (source == this.attempt) {
			this.times.alive();
		}
	}

	void onToken(Attempt source, TokenEvent event) {
		DeliveryDecision verdict = this.ledger.accept(event);
		if (verdict == DeliveryDecision.DELIVER) {
			deliver(source, event);
		}
		else if (verdict.failsAttempt()) {
			onFailed(source, new EngineFailure(Kind.MALFORMED, null, "token event rejected: " + verdict));
		}
	}

	private void deliver(Attempt source, TokenEvent event) {
		this.times.token();
		source.work().delivered();
		boolean full = event.index() + 1 >= this.order.maxTokens();
		String reason = full ? "length" : (event.last() ? "stop" : null);
		this.log.append(new ReplyToken(event.index(), event.epoch(), source.chain().first().runner().id(), event.text(),
				reason));
		this.readers.answer(this.log);
		if (reason != null) {
			complete(source, event.last());
		}
	}

	void onConsumed(Attempt source) {
		if (this.phase == Phase.ENDED) {
			source.read();
		}
		else if (source == this.attempt) {
			this.paused = windowFull();
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
		int next = this.ledger.advanceEpoch().epoch();
		log("reply-attempt-failed", Level.WARNING, failure.kind() + ": " + failure.detail());
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
		Problem problem = ((Result.Failed<Chain>) result).problem();
		end(ReplyProblems.with(problem, this.gate.closeAndGetOutcome()));
	}

	private void stopAttempt(Attempt source, boolean sent) {
		this.attempt = null;
		source.stop(this.services.engines(), this.order, sent);
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
		this.readers.answer(this.log);
		this.registry.ended(this);
		log("reply-completed", Level.DEBUG, null);
	}

	private void end(Problem problem) {
		Attempt running = this.attempt;
		if (running != null) {
			stopAttempt(running, this.gate.dispatched());
		}
		this.phase = Phase.ENDED;
		this.ledger.end();
		release();
		this.opened.complete(Result.failed(problem));
		this.log.fail(problem);
		this.readers.answer(this.log);
		this.registry.ended(this);
		log("reply-failed", Level.WARNING, problem.toString());
	}

	private void release() {
		Permit held = this.permit;
		if (held != null) {
			this.permit = null;
			held.release(this.gate.dispatched() ? this.order.promptTokens() + this.log.next() : 0);
		}
	}

	@Override
	public void joined() {
		post(() -> this.readers.join(now()));
	}

	@Override
	public void read(int next) {
		post(() -> {
			this.readers.read(next, now());
			resumeReading();
		});
	}

	@Override
	public void left() {
		post(this.readers::leave);
		abandon();
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
			this.readers.poll(from, now(), answer);
			resumeReading();
			if (this.log.next() > from || this.log.ended()) {
				this.readers.answer(this.log);
			}
		});
		return answer;
	}

	// Ends the reply if nobody reads it.
	void abandon() {
		post(() -> {
			if (inProgress() && this.readers.closed(this.services.settings().absence(), now())) {
				end(ReplyProblems.abandoned(this.gate.closeAndGetOutcome()));
			}
		});
	}

	private void resumeReading() {
		Attempt running = this.attempt;
		if (this.paused && running != null && !windowFull()) {
			this.paused = false;
			this.times.restart();
			running.read();
		}
	}

	// Checks the time limits.
	void tick() {
		post(this::checkTimes);
	}

	private void checkTimes() {
		this.readers.answer(this.log);
		if (!inProgress()) {
			return;
		}
		Attempt running = this.attempt;
		if (!now().isBefore(this.order.deadline())) {
			end(ReplyProblems.deadline(this.gate.closeAndGetOutcome()));
		}
		else if (this.opened.isDone() && this.readers.absent(this.services.settings().absence(), now())) {
			end(ReplyProblems.abandoned(this.gate.closeAndGetOutcome()));
		}
		else if (running != null && !this.paused && this.times.silent()) {
			this.services.engines().reconnect(running.chain().first().runner().address());
			onFailed(running, new EngineFailure(Kind.SILENT, null, "neither token nor keep-alive arrived in time"));
		}
		else if (running != null && !this.paused && this.times.takeProbe()) {
			probe(running);
		}
	}

	// The first stage sends keep-alives even if a later stage hangs.
	private void probe(Attempt running) {
		Diagnosis.probe(this.services.engines(), running.chain()).thenAccept((diagnosis) -> {
			if (!diagnosis.unreachable().isEmpty()) {
				post(() -> onFailed(running, new EngineFailure(Kind.STAGE, diagnosis.unreachable().iterator().next(),
						"the stage does not answer")));
			}
		});
	}

	private void log(String event, Level level, @Nullable String detail) {
		LogEvent.of(event)
			.with("request", this.order.id())
			.with("epoch", this.ledger.position().epoch())
			.with("tokens", this.log.next())
			.with("dropped", this.ledger.droppedCount())
			.with("detail", detail)
			.log(LOGGER, level);
	}

	private boolean windowFull() {
		return this.log.next() - this.readers.position() >= this.services.settings().window();
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
