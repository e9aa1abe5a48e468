package io.bilberryvalve.bench.served;

import java.util.Map;

import io.bilberryvalve.bench.EventLoop;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.LinkTable;
import io.bilberryvalve.policy.chain.Stage;

/**
 * A reply that is computed over a chain: a prefill, then one pass for each token.
 */
public final class ServedStream {

	private final EventLoop loop;

	private final Map<RunnerId, ServedRunner> runners;

	private final LinkTable links;

	private final Chain chain;

	private final long activationBytes;

	private final StreamListener listener;

	private int remaining;

	private boolean cancelled;

	/**
	 * Creates a stream.
	 * @param loop runs its events
	 * @param runners the runners
	 * @param links transfer times
	 * @param chain chain of the stream
	 * @param activationBytes bytes passed between stages for one token
	 * @param tokens tokens to generate, positive
	 * @param listener is told about tokens
	 */
	public ServedStream(EventLoop loop, Map<RunnerId, ServedRunner> runners, LinkTable links, Chain chain,
			long activationBytes, int tokens, StreamListener listener) {
		this.loop = loop;
		this.runners = runners;
		this.links = links;
		this.chain = chain;
		this.activationBytes = activationBytes;
		this.remaining = tokens;
		this.listener = listener;
	}

	/**
	 * Starts with the prefill of a prompt.
	 * @param prefillTokens prompt tokens in units of decode steps
	 */
	public void start(double prefillTokens) {
		pass(0, Math.max(1, prefillTokens));
	}

	/**
	 * Cancels the stream. No token is delivered afterwards.
	 */
	public void cancel() {
		this.cancelled = true;
	}

	private void pass(int index, double tokens) {
		if (this.cancelled) {
			return;
		}
		Stage stage = this.chain.stages().get(index);
		ServedRunner runner = this.runners.get(stage.runner().id());
		if (runner != null) {
			runner.compute(stage.layers().size() * tokens, () -> forward(index, tokens));
		}
	}

	private void forward(int index, double tokens) {
		boolean last = index + 1 == this.chain.stages().size();
		int next = last ? 0 : index + 1;
		double seconds = this.links.seconds(this.chain.stages().get(index).runner().dataCentre(),
				this.chain.stages().get(next).runner().dataCentre(), this.activationBytes);
		this.loop.after(seconds, last ? this::deliver : () -> pass(next, tokens));
	}

	private void deliver() {
		if (this.cancelled) {
			return;
		}
		this.remaining--;
		this.listener.token(this.remaining == 0);
		if (this.remaining > 0) {
			pass(0, 1);
		}
	}

	/**
	 * Is told about the tokens of a stream.
	 */
	@FunctionalInterface
	public interface StreamListener {

		/**
		 * Receives a token.
		 * @param last whether it is the last one
		 */
		void token(boolean last);

	}

}
