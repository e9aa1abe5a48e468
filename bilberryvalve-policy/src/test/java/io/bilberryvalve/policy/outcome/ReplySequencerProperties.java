package io.bilberryvalve.policy.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicIntegerArray;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.RunnerId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class ReplySequencerProperties {

	private static final int LAYERS = 8;

	private static final List<LayerStep> TRACE = List.of(step("r1", 0, 3), step("r2", 3, 8));

	// Guards against a token that is delivered twice, out of order or from an old
	// epoch when events arrive late, duplicated or reordered.
	@Property(seed = "31")
	void deliversEachIndexOnceFromTheCurrentEpoch(@ForAll long seed) {
		Random random = new Random(seed);
		ReplySequencer sequencer = new ReplySequencer(LAYERS);
		int next = 0;
		int epoch = 1;
		for (int i = 0; i < 200; i++) {
			if (random.nextInt(20) == 0) {
				assertThat(sequencer.advanceEpoch()).isEqualTo(new ReplyPosition(++epoch, next));
			}
			TokenEvent event = event(epoch - random.nextInt(3) + 1, next - 1 + random.nextInt(3), TRACE);
			boolean expected = event.epoch() == epoch && event.index() == next;
			assertThat(sequencer.accept(event) == Verdict.DELIVER).isEqualTo(expected);
			next += expected ? 1 : 0;
		}
		assertThat(sequencer.position()).isEqualTo(new ReplyPosition(epoch, next));
		assertThat(sequencer.droppedCount()).isEqualTo(200 - next);
	}

	// Guards against delivery of a token for which a layer was omitted, repeated or
	// computed out of order.
	@Example
	void rejectsTracesThatDoNotCoverTheModelOnceInOrder() {
		List<List<LayerStep>> traces = List.of(List.of(), List.of(step("r1", 0, 3)),
				List.of(step("r1", 0, 3), step("r2", 4, 8)), List.of(step("r1", 0, 4), step("r2", 3, 8)),
				List.of(step("r2", 3, 8), step("r1", 0, 3)), List.of(step("r1", 0, 8), step("r2", 0, 8)),
				List.of(step("r1", 0, 9)));
		ReplySequencer sequencer = new ReplySequencer(LAYERS);
		for (List<LayerStep> trace : traces) {
			assertThat(sequencer.accept(event(1, 0, trace))).isEqualTo(Verdict.BAD_TRACE);
		}
		assertThat(sequencer.accept(event(1, 0, TRACE))).isEqualTo(Verdict.DELIVER);
	}

	// Guards against events that are accepted after the end of a reply.
	@Example
	void acceptsNothingAfterTheEnd() {
		ReplySequencer sequencer = new ReplySequencer(LAYERS);
		sequencer.accept(new TokenEvent(1, 0, "t", TRACE, true));
		assertThat(sequencer.accept(event(1, 1, TRACE))).isEqualTo(Verdict.ENDED);
		assertThat(sequencer.ended()).isTrue();
	}

	// Guards against double delivery when several threads pass in the same events
	// while the epoch advances.
	@Example
	void deliversEachIndexOnceUnderConcurrency() throws Exception {
		int tokens = 20_000;
		ReplySequencer sequencer = new ReplySequencer(LAYERS);
		AtomicIntegerArray delivered = new AtomicIntegerArray(tokens);
		List<Thread> threads = new ArrayList<>();
		CountDownLatch start = new CountDownLatch(1);
		for (int t = 0; t < 4; t++) {
			boolean advancesEpoch = t == 0;
			threads.add(new Thread(() -> {
				await(start);
				ReplyPosition now = sequencer.position();
				while (now.nextIndex() < tokens) {
					if (sequencer.accept(event(now.epoch(), now.nextIndex(), TRACE)) == Verdict.DELIVER) {
						delivered.incrementAndGet(now.nextIndex());
					}
					now = (advancesEpoch && now.nextIndex() % 7 == 0) ? sequencer.advanceEpoch() : sequencer.position();
				}
			}));
		}
		threads.forEach(Thread::start);
		start.countDown();
		for (Thread thread : threads) {
			thread.join(20_000);
			assertThat(thread.isAlive()).isFalse();
		}
		for (int i = 0; i < tokens; i++) {
			assertThat(delivered.get(i)).isEqualTo(1);
		}
	}

	// Guards against a request that is reported as not run while another thread sends
	// it.
	@Example
	void gateEitherSendsOrReportsNotRun() throws Exception {
		for (int i = 0; i < 2_000; i++) {
			DispatchGate gate = new DispatchGate();
			CountDownLatch start = new CountDownLatch(1);
			boolean[] sent = new boolean[1];
			Thread sender = new Thread(() -> {
				await(start);
				sent[0] = gate.tryDispatch();
			});
			sender.start();
			start.countDown();
			Outcome outcome = gate.closeAndGetOutcome();
			sender.join(10_000);
			assertThat(outcome == Outcome.NOT_RUN).isEqualTo(!sent[0]);
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static TokenEvent event(int epoch, int index, List<LayerStep> trace) {
		return new TokenEvent(epoch, index, "t", trace, false);
	}

	private static LayerStep step(String runner, int first, int end) {
		return new LayerStep(new RunnerId(runner), new LayerRange(first, end));
	}

}
