package io.bilberryvalve.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.http.StandinException;
import org.jspecify.annotations.Nullable;

/**
 * Executes the steps of streams for the layers of this engine and passes them to the next
 * stage.
 */
final class StageRunner {

	private static final Duration PREFILL_TIME_PER_POSITION = Duration.ofMillis(20);

	private final EngineSettings settings;

	private final Faults faults;

	private final StreamTable streams;

	private final OrderBook orders;

	private final PrefixCache prefixes;

	private final ComputeUnit compute;

	private final Executions executions;

	private final ScheduledExecutorService scheduler;

	private final Runnable halt;

	private final ChainClient client = new ChainClient();

	/**
	 * Creates the runner.
	 * @param settings settings of the engine
	 * @param faults faults in force
	 * @param streams streams of the engine
	 * @param orders what the engine has loaded
	 * @param prefixes the prefix cache
	 * @param compute the accelerator
	 * @param executions counts the executed layers
	 * @param scheduler delays steps on degraded links
	 * @param halt ends the process at once
	 */
	StageRunner(EngineSettings settings, Faults faults, StreamTable streams, OrderBook orders, PrefixCache prefixes,
			ComputeUnit compute, Executions executions, ScheduledExecutorService scheduler, Runnable halt) {
		this.settings = settings;
		this.faults = faults;
		this.streams = streams;
		this.orders = orders;
		this.prefixes = prefixes;
		this.compute = compute;
		this.executions = executions;
		this.scheduler = scheduler;
		this.halt = halt;
	}

	/**
	 * Executes a step here and at the later stages.
	 * @param stream the stream
	 * @param step the step
	 * @return the answer of the last stage
	 * @throws StandinException if this stage refuses the step
	 */
	CompletableFuture<Step.Answer> execute(String stream, Step step) {
		StreamRequest opened = step.open();
		return (opened != null) ? open(stream, step, opened) : compute(stream, step);
	}

	private CompletableFuture<Step.Answer> open(String stream, Step step, StreamRequest request) {
		Stage stage = stage(step, request);
		if (!stage.runner().equals(this.settings.runner().value())) {
			throw conflict("stage " + step.at() + " is " + stage.runner() + ", but this is " + this.settings.runner());
		}
		this.orders.checkServes(request, stage.layers());
		int positions = this.streams.use(stream).open(request, stage.layers(), this.prefixes.cached(request));
		Stage next = after(step, request);
		if (next == null) {
			return CompletableFuture.completedFuture(new Step.Answer(positions, "", List.of()));
		}
		return forward(next, stream, step.next(null)).thenApply(
				(answer) -> new Step.Answer(Math.min(positions, answer.positions()), answer.text(), answer.layers()));
	}

	private CompletableFuture<Step.Answer> compute(String stream, Step step) {
		StreamState state = this.streams.find(stream);
		StreamRequest request = state.accept(step);
		Stage stage = stage(step, request);
		LayerRange layers = stage.layers();
		this.orders.checkServes(request, layers);
		boolean prefill = step.phase() == Step.Phase.PREFILL;
		return this.compute.execute(step.end() - step.start(), layers.size(), prefill, request.priority())
			.thenCompose((none) -> {
				record(state, stream, step, layers);
				if (prefill) {
					this.prefixes.store(request);
				}
				return pass(stream, step, request, stage);
			});
	}

	private void record(StreamState state, String stream, Step step, LayerRange layers) {
		this.executions.record(stream, step.epoch(), step.index(), layers);
		if (this.faults.countExecution()) {
			this.halt.run();
		}
		state.executed(step, layers);
	}

	private CompletableFuture<Step.Answer> pass(String stream, Step step, StreamRequest request, Stage stage) {
		Stage next = after(step, request);
		if (next != null) {
			return forward(next, stream, step.next(stage.trace()));
		}
		List<Stage.Trace> trace = new ArrayList<>();
		if (step.layers() != null) {
			trace.addAll(step.layers());
		}
		trace.add(stage.trace());
		String text = ReplyText.token(request.model(), request.prompt(), step.index());
		return CompletableFuture.completedFuture(new Step.Answer(0, text, trace));
	}

	private CompletableFuture<Step.Answer> forward(Stage next, String stream, Step step) {
		Duration timeout = this.settings.timing()
			.stepTimeout()
			.plus(PREFILL_TIME_PER_POSITION.multipliedBy(step.end() - step.start()));
		Duration delay = this.faults.linkDelay();
		if (delay.isZero()) {
			return this.client.step(next, stream, step, timeout);
		}
		CompletableFuture<Step.Answer> answer = new CompletableFuture<>();
		this.scheduler.schedule(() -> this.client.step(next, stream, step, timeout).whenComplete((value, error) -> {
			if (error != null) {
				answer.completeExceptionally(ChainClient.cause(error));
			}
			else {
				answer.complete(value);
			}
		}), delay.toMillis(), TimeUnit.MILLISECONDS);
		return answer;
	}

	private static Stage stage(Step step, StreamRequest request) {
		if (step.at() >= request.chain().size()) {
			throw conflict("the chain has " + request.chain().size() + " stages, not " + (step.at() + 1));
		}
		return request.chain().get(step.at());
	}

	private static @Nullable Stage after(Step step, StreamRequest request) {
		int next = step.at() + 1;
		return (next < request.chain().size()) ? request.chain().get(next) : null;
	}

	private static StandinException conflict(String detail) {
		return StandinException.refused(ProblemKind.CONFLICT, detail, "correct the chain and open a new epoch");
	}

}
