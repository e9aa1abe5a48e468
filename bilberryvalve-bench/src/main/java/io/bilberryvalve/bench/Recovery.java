package io.bilberryvalve.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.bilberryvalve.bench.process.ClientReply;
import io.bilberryvalve.bench.process.EntryClient;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;

/**
 * Time from a fault to the next token, as a client sees it, with whole processes. The
 * baseline is the longest gap of a reply without a fault in the same run.
 */
final class Recovery implements Experiment {

	private static final int TOKENS = 100;

	private static final int FAULT_INDEX = 20;

	private static final int WARM_UP_REPLIES = 20;

	@Override
	public String name() {
		return "recovery";
	}

	@Override
	public List<Figure> run(List<Long> seeds) throws Exception {
		try (LocalFederation federation = LocalFederation.start(new Plan(4, 3, 512, 4000))) {
			for (int i = 0; i < WARM_UP_REPLIES; i++) {
				complete(federation, i % 3, (reply) -> {
				});
			}
			double healthy = gap(seeds, federation, Fault.NONE);
			List<Figure> figures = new ArrayList<>();
			figures.add(new Figure("recovery_stage_death", gap(seeds, federation, Fault.KILL), "s", healthy,
					"first stage of the chain killed in mid-reply"));
			figures.add(new Figure("recovery_stage_frozen", gap(seeds, federation, Fault.FREEZE), "s", healthy,
					"first stage frozen in mid-reply; detection bound 1 s"));
			figures.add(new Figure("recovery_link_silent", gap(seeds, federation, Fault.SILENCE), "s", healthy,
					"open connections of the first stage go silent; detection bound 1 s"));
			figures.add(new Figure("recovery_entry_loss", entryLoss(seeds, federation), "s", healthy,
					"entry killed in mid-reply, reply resumed at another entry by its last event id"));
			return figures;
		}
	}

	private static double gap(List<Long> seeds, LocalFederation federation, Fault fault) throws Exception {
		double[] gaps = new double[seeds.size()];
		for (int i = 0; i < gaps.length; i++) {
			FaultAction action = new FaultAction(federation, fault);
			ClientReply reply = complete(federation, i % 3, action);
			require(reply.whole(0, TOKENS), reply);
			gaps[i] = reply.longestGapSeconds();
			action.undo();
		}
		return Median.of(gaps);
	}

	private static ClientReply complete(LocalFederation federation, int entry, Consumer<ClientReply> atFault) {
		EntryClient client = federation.client(entry);
		return client.complete("pavio", TOKENS, (reply) -> {
			if (reply.size() == FAULT_INDEX) {
				atFault.accept(reply);
			}
		});
	}

	private static double entryLoss(List<Long> seeds, LocalFederation federation) throws Exception {
		int lost = federation.entries() - 1;
		double[] times = new double[seeds.size()];
		for (int i = 0; i < times.length; i++) {
			AtomicLong killed = new AtomicLong();
			ClientReply cut = complete(federation, lost, (reply) -> {
				killed.set(System.nanoTime());
				federation.processes().kill("entry-" + lost);
			});
			ClientReply rest = federation.client(i % 3).resume("pavio", TOKENS, String.valueOf(cut.lastEvent()));
			require(rest.whole(cut.size(), TOKENS), rest);
			times[i] = rest.firstTokenSecondsAfter(killed.get());
			federation.processes().awaitExit("entry-" + lost);
			federation.startEntry(lost);
			federation.awaitEntry(lost, 1);
		}
		return Median.of(times);
	}

	private static void require(boolean whole, ClientReply reply) {
		if (!whole) {
			throw new IllegalStateException("reply is not whole after " + reply.size() + " tokens: " + reply.fault());
		}
	}

	/**
	 * What happens to the first stage.
	 */
	private enum Fault {

		/** Nothing. */
		NONE,

		/** The process ends at once. */
		KILL,

		/** The process stops to execute. */
		FREEZE,

		/** Open connections go silent, new ones work. */
		SILENCE

	}

	/**
	 * Causes a fault at the engine that serves the reply and repairs it afterwards.
	 */
	private static final class FaultAction implements Consumer<ClientReply> {

		private final LocalFederation federation;

		private final Fault fault;

		private int engine = -1;

		FaultAction(LocalFederation federation, Fault fault) {
			this.federation = federation;
			this.fault = fault;
		}

		@Override
		public void accept(ClientReply reply) {
			try {
				cause(reply.runner());
			}
			catch (Exception ex) {
				throw new IllegalStateException("the fault could not be caused", ex);
			}
		}

		private void cause(String name) throws Exception {
			if (this.fault == Fault.NONE) {
				return;
			}
			this.engine = Integer.parseInt(name.substring("engine-".length()));
			switch (this.fault) {
				case KILL -> this.federation.processes().kill(name);
				case FREEZE -> this.federation.processes().freeze(name);
				default -> this.federation.faults(name, "{\"silenceExisting\": true}");
			}
		}

		void undo() throws Exception {
			if (this.engine < 0) {
				return;
			}
			switch (this.fault) {
				case KILL -> this.federation.restartEngine(this.engine);
				case FREEZE -> this.federation.processes().thaw("engine-" + this.engine);
				default -> this.federation.faults("engine-" + this.engine, "{}");
			}
		}

	}

}
