package io.bilberryvalve.daemon.reply;

import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineListener;
import io.bilberryvalve.daemon.engine.EngineStream;
import io.bilberryvalve.daemon.runner.ChainSource.Work;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.outcome.ReplyPosition;
import io.bilberryvalve.policy.outcome.TokenEvent;
import org.jspecify.annotations.Nullable;

/**
 * One attempt at a reply: a chain and its stream in one epoch. Hands the events of the
 * stream to the mailbox of the reply.
 */
final class Attempt implements EngineListener {

	private final ReplySession session;

	private final ReplyPosition start;

	private final Chain chain;

	private final Work work;

	private @Nullable EngineStream stream;

	Attempt(ReplySession session, ReplyPosition start, Chain chain, Work work) {
		this.session = session;
		this.start = start;
		this.chain = chain;
		this.work = work;
	}

	int epoch() {
		return this.start.epoch();
	}

	Chain chain() {
		return this.chain;
	}

	Work work() {
		return this.work;
	}

	void attach(EngineStream opened) {
		this.stream = opened;
	}

	void read() {
		if (this.stream != null) {
			this.stream.read();
		}
	}

	/**
	 * Ends the attempt before its reply is complete.
	 * @param engines client of the engines
	 * @param order the request
	 * @param sent whether an engine may know the epoch, so that each stage must cancel it
	 */
	void stop(EngineClient engines, ReplyOrder order, boolean sent) {
		this.work.end(false);
		if (this.stream != null) {
			this.stream.close();
		}
		if (sent) {
			for (Stage stage : this.chain.stages()) {
				engines.cancel(stage.runner().address(), order.id(), this.start.epoch());
			}
		}
	}

	@Override
	public void opened() {
		this.session.post(() -> this.session.onOpened(this));
	}

	@Override
	public void token(TokenEvent event) {
		this.session.post(() -> this.session.onToken(this, event));
	}

	@Override
	public void keepAlive() {
		this.session.post(() -> this.session.onKeepAlive(this));
	}

	@Override
	public void consumed() {
		this.session.post(() -> this.session.onConsumed(this));
	}

	@Override
	public void ended() {
		this.session.post(() -> this.session.onEnded(this));
	}

	@Override
	public void failed(EngineFailure failure) {
		this.session.post(() -> this.session.onFailed(this, failure));
	}

}
