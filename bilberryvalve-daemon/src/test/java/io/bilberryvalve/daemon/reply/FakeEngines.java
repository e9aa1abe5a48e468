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
import io.bilberryvalve.daemon.engine.StreamRequest;
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
 * Fake engine client whose streams send the events that a test asks for.
 */
final class FakeEngines implements EngineClient {

	final List<FakeStream> opened = new ArrayList<>();

	final List<String> calls = new ArrayList<>();

	final List<FakeStream> resumed = new ArrayList<>();

	boolean keepsStreams;

	final Set<Address> unreachable = new HashSet<>();

	/** Engines that accept connections and answer nothing. */
	final Set<Address> silent = new HashSet<>();

	final Set<Address> leaving = new HashSet<>();

	@Override
	public EngineStream openStream(StreamRequest request, BooleanSupplier gate, EngineListener listener) {
		FakeStream stream = new FakeStream(request, listener);
		if (this.unreachable.contains(request.chain().first().runner().address())) {
			listener.onFailed(new EngineFailure(Kind.REFUSED, null, "connection refused"));
		}
		else if (!gate.getAsBoolean()) {
			listener.onFailed(new EngineFailure(Kind.GATE_CLOSED, null, "gate closed"));
		}
		else {
			this.opened.add(stream);
			if (!this.silent.contains(request.chain().first().runner().address())) {
				listener.onOpened();
			}
		}
		return stream;
	}

	@Override
	public EngineStream resumeStream(Address address, RequestId stream, int from, ClubId club,
			EngineListener listener) {
		this.calls.add("resume " + address + " " + from + " " + club);
		FakeStream resumedStream = new FakeStream(null, listener);
		if (this.keepsStreams) {
			this.resumed.add(resumedStream);
			listener.onOpened();
		}
		else {
			listener.onFailed(new EngineFailure(Kind.UNKNOWN_STREAM, null, "unknown"));
		}
		return resumedStream;
	}

	@Override
	public CompletionStage<Boolean> cancelStream(Address address, RequestId stream, int epoch) {
		this.calls.add("cancel " + address + " " + epoch);
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public CompletionStage<Boolean> pullKvCache(Address target, RequestId stream, Address source, int epoch) {
		this.calls.add("pull " + target + " " + source + " " + epoch);
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public CompletionStage<Result<LoadReport>> fetchLoad(Address address) {
		if (this.unreachable.contains(address) || this.silent.contains(address)) {
			return CompletableFuture.completedFuture(Result
				.failed(Problem.unknown(ProblemKind.RUNNER_FAILED, "no answer", "check whether the engine runs")));
		}
		LoadReport.State state = this.leaving.contains(address) ? LoadReport.State.LEAVING : LoadReport.State.SERVING;
		return CompletableFuture.completedFuture(
				Result.ok(new LoadReport(new RunnerId("r" + address.port()), Instant.EPOCH, 0, 0, 0, 1, state)));
	}

	@Override
	public CompletionStage<Result<CacheEvents>> fetchCacheEvents(Address address, long after) {
		return CompletableFuture.completedFuture(Result.ok(new CacheEvents(List.of(), 1)));
	}

	@Override
	public void reconnect(Address address) {
		this.calls.add("reconnect " + address);
	}

	FakeStream lastStream() {
		return this.opened.get(this.opened.size() - 1);
	}

	/**
	 * A stream whose events the test sends.
	 */
	static final class FakeStream implements EngineStream {

		final StreamRequest request;

		final EngineListener listener;

		int reads;

		boolean closed;

		FakeStream(StreamRequest request, EngineListener listener) {
			this.request = request;
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
			for (Stage stage : this.request.chain().stages()) {
				trace.add(new LayerStep(stage.runner().id(), stage.layers()));
			}
			return new TokenEvent(this.request.epoch(), index, "t" + index + " ", trace, last);
		}

		void sendToken(int index, boolean last) {
			this.listener.onToken(event(index, last));
			this.listener.onReadComplete();
		}

		void sendTokens(int from, int end, int length) {
			for (int i = from; i < end; i++) {
				sendToken(i, i == length - 1);
			}
		}

		void fail(Kind kind, String runner) {
			this.listener.onFailed(new EngineFailure(kind, (runner != null) ? new RunnerId(runner) : null, "test"));
		}

	}

}
