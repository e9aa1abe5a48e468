package io.bilberryvalve.daemon.reply;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import io.bilberryvalve.daemon.engine.CacheEvents;
import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.daemon.engine.EngineListener;
import io.bilberryvalve.daemon.engine.EngineStream;
import io.bilberryvalve.daemon.engine.StreamOrder;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.choice.LoadReport;
import io.bilberryvalve.policy.outcome.LayerStep;
import io.bilberryvalve.policy.outcome.TokenEvent;

/**
 * Engines that send what a test tells them to.
 */
final class FakeEngines implements EngineClient {

	final List<Opened> opened = new ArrayList<>();

	final List<String> calls = new ArrayList<>();

	final Set<Address> dead = new HashSet<>();

	final Set<Address> leaving = new HashSet<>();

	@Override
	public EngineStream open(StreamOrder order, BooleanSupplier gate, EngineListener listener) {
		Opened stream = new Opened(order, listener);
		if (this.dead.contains(order.chain().first().runner().address())) {
			listener.failed(new EngineFailure(Kind.REFUSED, null, "connection refused"));
		}
		else if (!gate.getAsBoolean()) {
			listener.failed(new EngineFailure(Kind.GATE_CLOSED, null, "gate closed"));
		}
		else {
			this.opened.add(stream);
			listener.opened();
		}
		return stream;
	}

	@Override
	public EngineStream resume(Address address, RequestId stream, int from, ClubId club, EngineListener listener) {
		this.calls.add("resume " + address + " " + from + " " + club);
		listener.failed(new EngineFailure(Kind.UNKNOWN_STREAM, null, "unknown"));
		return new Opened(null, listener);
	}

	@Override
	public CompletionStage<Boolean> cancel(Address address, RequestId stream, int epoch) {
		this.calls.add("cancel " + address + " " + epoch);
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public CompletionStage<Boolean> pull(Address target, RequestId stream, Address source, int epoch) {
		this.calls.add("pull " + target + " " + source + " " + epoch);
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public CompletionStage<Result<LoadReport>> load(Address address) {
		if (this.dead.contains(address)) {
			return CompletableFuture.completedFuture(Result
				.failed(Problem.unknown(ProblemKind.RUNNER_FAILED, "no answer", "check whether the engine runs")));
		}
		LoadReport.State state = this.leaving.contains(address) ? LoadReport.State.LEAVING : LoadReport.State.SERVING;
		return CompletableFuture.completedFuture(
				Result.ok(new LoadReport(new RunnerId("r" + address.port()), Instant.EPOCH, 0, 0, 0, 1, state)));
	}

	@Override
	public CompletionStage<Result<CacheEvents>> cacheEvents(Address address, long after) {
		return CompletableFuture.completedFuture(Result.ok(new CacheEvents(List.of(), 1)));
	}

	@Override
	public void reconnect(Address address) {
		this.calls.add("reconnect " + address);
	}

	Opened last() {
		return this.opened.get(this.opened.size() - 1);
	}

	/**
	 * A stream that an engine sends.
	 */
	static final class Opened implements EngineStream {

		final StreamOrder order;

		final EngineListener listener;

		int reads;

		boolean closed;

		Opened(StreamOrder order, EngineListener listener) {
			this.order = order;
			this.listener = listener;
		}

		@Override
		public void read() {
			this.reads++;
		}

		@Override
		public void close() {
			this.closed = true;
		}

		TokenEvent event(int index, boolean last) {
			List<LayerStep> trace = new ArrayList<>();
			for (Stage stage : this.order.chain().stages()) {
				trace.add(new LayerStep(stage.runner().id(), stage.layers()));
			}
			return new TokenEvent(this.order.epoch(), index, "t" + index + " ", trace, last);
		}

		void token(int index, boolean last) {
			this.listener.token(event(index, last));
			this.listener.consumed();
		}

		void tokens(int from, int end, int length) {
			for (int i = from; i < end; i++) {
				token(i, i == length - 1);
			}
		}

		void fail(Kind kind, String runner) {
			this.listener.failed(new EngineFailure(kind, (runner != null) ? new RunnerId(runner) : null, "test"));
		}

	}

}
