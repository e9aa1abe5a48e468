package io.bilberryvalve.daemon.reply;

import java.util.List;

import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineListener;
import io.bilberryvalve.daemon.engine.EngineStream;
import io.bilberryvalve.daemon.runner.ChainRouter.WorkTracker;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.outcome.ReplyPosition;
import io.bilberryvalve.policy.outcome.TokenEvent;
import org.jspecify.annotations.Nullable;

/**
 * One attempt at computing a reply: a chain and its stream, identified by an epoch.
 * Passes the events of the stream to the {@link ReplySession} as tasks of its
 * {@link SerialExecutor}.
 */
final class Attempt implements EngineListener {

	private final ReplySession session;

	private final ReplyPosition startPosition;

	private final Chain chain;

	private final WorkTracker work;

	private @Nullable EngineStream stream;

	Attempt(ReplySession session, ReplyPosition start, Chain chain, WorkTracker work) {
		this.session = session;
		this.startPosition = start;
		this.chain = chain;
		this.work = work;
	}

	int epoch() {
		return this.startPosition.epoch();
	}

	Chain chain() {
		return this.chain;
	}

	private boolean uses(RunnerId runner) {
		return this.chain.uses(List.of(runner));
	}

	WorkTracker work() {
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
	 * @param request request that the reply belongs to
	 * @param sent whether the request may have been sent, so that every stage must cancel
	 * the epoch
	 * @param open attempts that may go on; a stage of an earlier one is left alone,
	 * because an engine cancels all epochs up to the one named
	 */
	void stop(EngineClient engines, ReplyRequest request, boolean sent, List<Attempt> open) {
		this.work.end(false);
		if (this.stream != null) {
			this.stream.close();
		}
		if (sent) {
			for (Stage stage : this.chain.stages()) {
				RunnerId runner = stage.runner().id();
				if (open.stream().noneMatch((other) -> other.epoch() < epoch() && other.uses(runner))) {
					engines.cancelStream(stage.runner().address(), request.id(), epoch());
				}
			}
		}
	}

	@Override
	public void onOpened() {
		this.session.post(() -> this.session.onOpened(this));
	}

	@Override
	public void onToken(TokenEvent event) {
		this.session.post(() -> this.session.onToken(this, event));
	}

	@Override
	public void onKeepAlive() {
		this.session.post(() -> this.session.onKeepAlive(this));
	}

	@Override
	public void onReadComplete() {
		this.session.post(() -> this.session.onReadComplete(this));
	}

	@Override
	public void onEnded() {
		this.session.post(() -> this.session.onEnded(this));
	}

	@Override
	public void onFailed(EngineFailure failure) {
		this.session.post(() -> this.session.onFailed(this, failure));
	}

}
