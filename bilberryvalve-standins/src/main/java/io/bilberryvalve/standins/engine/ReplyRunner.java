package io.bilberryvalve.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.http.Json;
import io.bilberryvalve.standins.http.StandinException;

/**
 * Drives the decode loop of the streams for which this engine is the first stage. Only a
 * limited number runs at the same time; others wait, by priority and then in order.
 */
final class ReplyRunner {

	private final EngineSettings settings;

	private final Faults faults;

	private final StreamTable streams;

	private final StageRunner stages;

	private final PriorityQueue<Waiting> waiting = new PriorityQueue<>();

	private int running;

	private long sequence;

	ReplyRunner(EngineSettings settings, Faults faults, StreamTable streams, StageRunner stages) {
		this.settings = settings;
		this.faults = faults;
		this.streams = streams;
		this.stages = stages;
	}

	/**
	 * Starts an epoch of a stream.
	 * @param request the request
	 * @return the reply
	 * @throws StandinException if the epoch is refused by this stage
	 */
	ReplyStream start(StreamRequest request) {
		checkDelivered(request);
		StreamState state = this.streams.use(request.stream());
		ReplyStream reply = new ReplyStream(request, this.faults);
		CompletableFuture<Step.Answer> opened = this.stages.execute(request.stream(), Step.open(request));
		ReplyStream earlier = state.cancel(request.epoch() - 1);
		if (earlier != null) {
			earlier.fail(cancelled(earlier.request()));
		}
		state.reply(reply);
		opened.whenComplete((answer, error) -> {
			if (error != null) {
				fail(reply, error);
			}
			else {
				enter(new Waiting(request.priority(), next(), reply, answer.positions()));
			}
		});
		return reply;
	}

	/**
	 * Cancels epochs of a stream.
	 * @param stream the stream
	 * @param upTo the last epoch to cancel
	 */
	void cancel(String stream, int upTo) {
		ReplyStream reply = this.streams.use(stream).cancel(upTo);
		if (reply != null) {
			reply.fail(cancelled(reply.request()));
		}
	}

	/**
	 * Returns the prompt tokens of the streams that wait.
	 * @return the number of tokens
	 */
	synchronized long waitingTokens() {
		return this.waiting.stream().mapToLong((entry) -> entry.reply().request().promptTokens()).sum();
	}

	private synchronized long next() {
		return this.sequence++;
	}

	private void enter(Waiting entry) {
		synchronized (this) {
			this.waiting.add(entry);
		}
		admit();
	}

	private void leave() {
		synchronized (this) {
			this.running--;
		}
		admit();
	}

	private void admit() {
		Queue<Waiting> admitted = new ArrayDeque<>();
		synchronized (this) {
			while (this.running < this.settings.batch().maxRunning() && !this.waiting.isEmpty()) {
				admitted.add(this.waiting.remove());
				this.running++;
			}
		}
		admitted.forEach((entry) -> prefill(entry.reply(), entry.positions()));
	}

	private void prefill(ReplyStream reply, int positions) {
		StreamRequest request = reply.request();
		if (request.from() >= length(request)) {
			reply.finish();
			leave();
			return;
		}
		int end = request.promptTokens() + request.from();
		run(reply, new Step(request.epoch(), Step.Phase.PREFILL, 0, request.from(), positions, end, null, null));
	}

	private void run(ReplyStream reply, Step step) {
		if (reply.ended()) {
			leave();
			return;
		}
		CompletableFuture<Step.Answer> answered;
		try {
			answered = this.stages.execute(reply.request().stream(), step);
		}
		catch (RuntimeException ex) {
			answered = CompletableFuture.failedFuture(ex);
		}
		answered.thenAccept((answer) -> deliver(reply, step, answer)).exceptionally((error) -> {
			fail(reply, error);
			leave();
			return null;
		});
	}

	private void deliver(ReplyStream reply, Step step, Step.Answer answer) {
		int next = step.index() + 1;
		boolean last = next >= length(reply.request());
		reply.token(step.index(), answer, last);
		if (last) {
			leave();
		}
		else {
			run(reply, new Step(step.epoch(), Step.Phase.DECODE, 0, next, step.end(), step.end() + 1, null, null));
		}
	}

	private int length(StreamRequest request) {
		return ReplyText.length(request.model(), request.prompt(), request.maxTokens(),
				this.settings.batch().endsEarly());
	}

	private void fail(ReplyStream reply, Throwable error) {
		Throwable cause = ChainClient.cause(error);
		String self = this.settings.runner().value();
		if (cause instanceof StageException failed) {
			reply.fail(Json.write(failed.problem(), failed.runner()));
		}
		else if (cause instanceof StandinException refused) {
			reply.fail(Json.write(refused.problem(), self));
		}
		else {
			reply.fail(Json.write(Problem.unknown(ProblemKind.INTERNAL, String.valueOf(cause),
					"continue with another chain in a new epoch"), self));
		}
	}

	private String cancelled(StreamRequest request) {
		Problem problem = new Problem(ProblemKind.CONFLICT, Outcome.UNKNOWN,
				"epoch " + request.epoch() + " of stream " + request.stream() + " was cancelled", "use a higher epoch",
				null);
		return Json.write(problem, this.settings.runner().value());
	}

	// A wrong token would change what a model says next, so the stand-in refuses it.
	private static void checkDelivered(StreamRequest request) {
		List<String> delivered = (request.delivered() != null) ? request.delivered() : new ArrayList<>();
		for (int i = 0; i < delivered.size(); i++) {
			String expected = ReplyText.token(request.model(), request.prompt(), i);
			if (!expected.equals(delivered.get(i))) {
				throw new IllegalArgumentException("delivered token " + i + " is '" + delivered.get(i)
						+ "', but this model said '" + expected + "'; send the tokens unchanged");
			}
		}
	}

	private record Waiting(int priority, long sequence, ReplyStream reply,
			int positions) implements Comparable<Waiting> {

		private static final Comparator<Waiting> ORDER = Comparator.comparingInt(Waiting::priority)
			.reversed()
			.thenComparingLong(Waiting::sequence);

		@Override
		public int compareTo(Waiting other) {
			return ORDER.compare(this, other);
		}

	}

}
