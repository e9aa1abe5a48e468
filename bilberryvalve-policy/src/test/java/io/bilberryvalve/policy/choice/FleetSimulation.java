package io.bilberryvalve.policy.choice;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;

/**
 * Simulates entries that choose among runners of mixed speed by stale reports. Each
 * runner divides its rate equally among its streams.
 */
final class FleetSimulation {

	private static final double STEP_SECONDS = 0.01;

	private static final double TOKENS = 50;

	private static final int REPORT_STEPS = 100;

	private final Random random;

	private final ManualClock clock = new ManualClock();

	private final double[] rates;

	private final List<List<Job>> running = new ArrayList<>();

	private final int[] pendingReport;

	private Instant pendingSince = Instant.EPOCH;

	private final Entry[] entries;

	double served;

	double capacity;

	double delaySum;

	int finished;

	FleetSimulation(long seed, int runners, int entries) {
		this.random = new Random(seed);
		this.rates = new double[runners];
		this.pendingReport = new int[runners];
		for (int i = 0; i < runners; i++) {
			this.rates[i] = (i % 2 == 0) ? 100 : 400;
			this.running.add(new ArrayList<>());
		}
		this.entries = new Entry[entries];
		Arrays.setAll(this.entries, (i) -> new Entry());
	}

	/**
	 * Runs the simulation.
	 * @param chooser chooses the runner of each request, for all entries
	 * @param load offered work as a fraction of the capacity
	 * @param seconds simulated time in seconds; the first quarter is not counted
	 * @return this simulation
	 */
	FleetSimulation run(RunnerChooser chooser, double load, int seconds) {
		double total = Arrays.stream(this.rates).sum();
		double arrivals = load * total / TOKENS * STEP_SECONDS;
		int steps = (int) (seconds / STEP_SECONDS);
		for (int step = 0; step < steps; step++) {
			for (double due = arrivals; due > 0 && this.random.nextDouble() < due; due--) {
				arrive(chooser);
			}
			serve(step >= steps / 4);
			if (step % REPORT_STEPS == 0) {
				report();
			}
			this.clock.advance(Duration.ofMillis(10));
		}
		return this;
	}

	// Delivers the reports that were observed one period earlier.
	private void report() {
		for (int i = 0; i < this.rates.length; i++) {
			LoadReport report = new LoadReport(id(i), this.pendingSince, this.pendingReport[i], this.pendingReport[i],
					0, 1, LoadReport.State.SERVING);
			for (Entry entry : this.entries) {
				entry.loadEstimator.report(report, 1);
			}
			this.pendingReport[i] = this.running.get(i).size();
		}
		this.pendingSince = this.clock.instant();
	}

	private void arrive(RunnerChooser chooser) {
		Entry entry = this.entries[this.random.nextInt(this.entries.length)];
		int chosen = chooser.choose(entry, this.random);
		entry.loadEstimator.addOwnWork(id(chosen), 1);
		this.running.get(chosen).add(new Job(entry, this.clock.instant()));
	}

	private void serve(boolean counted) {
		for (int i = 0; i < this.rates.length; i++) {
			List<Job> jobs = this.running.get(i);
			double work = this.rates[i] * STEP_SECONDS;
			this.capacity += counted ? work : 0;
			if (jobs.isEmpty()) {
				continue;
			}
			this.served += counted ? work : 0;
			double share = work / jobs.size();
			int runner = i;
			jobs.removeIf((job) -> job.served(share, runner, counted));
		}
	}

	private static RunnerId id(int runner) {
		return new RunnerId("r" + runner);
	}

	private final class Job {

		private final Entry entry;

		private final Instant start;

		private double left = TOKENS;

		Job(Entry entry, Instant start) {
			this.entry = entry;
			this.start = start;
		}

		boolean served(double tokens, int runner, boolean counted) {
			this.left -= tokens;
			if (this.left > 0) {
				return false;
			}
			this.entry.loadEstimator.addOwnWork(id(runner), -1);
			this.entry.loadEstimator
				.recordResidence(Duration.between(this.start, FleetSimulation.this.clock.instant()));
			FleetSimulation.this.finished += counted ? 1 : 0;
			FleetSimulation.this.delaySum += counted
					? Duration.between(this.start, FleetSimulation.this.clock.instant()).toMillis() : 0;
			return true;
		}

	}

	private final class Entry implements Candidates {

		private final RunnerLoadEstimator loadEstimator = new RunnerLoadEstimator(FleetSimulation.this.clock);

		@Override
		public int size() {
			return FleetSimulation.this.rates.length;
		}

		@Override
		public int sample(double uniform) {
			double target = uniform * Arrays.stream(FleetSimulation.this.rates).sum();
			int i = 0;
			for (double sum = FleetSimulation.this.rates[0]; sum <= target && i < size() - 1;) {
				sum += FleetSimulation.this.rates[++i];
			}
			return i;
		}

		@Override
		public boolean usable(int candidate, double uniform) {
			return true;
		}

		@Override
		public double reportedSeconds(int candidate) {
			return (this.loadEstimator.reportedPositions(id(candidate)) + 1) / FleetSimulation.this.rates[candidate];
		}

		@Override
		public double estimatedSeconds(int candidate) {
			return (this.loadEstimator.estimatedPositions(id(candidate)) + 0.01)
					/ FleetSimulation.this.rates[candidate];
		}

		@Override
		public double outstanding(int candidate) {
			return this.loadEstimator.outstandingPositions(id(candidate));
		}

		@Override
		public double prefixSavingsSeconds(int candidate) {
			return 0;
		}

		@Override
		public int[] prefixHolders() {
			return new int[0];
		}

	}

}
