package io.bilberryvalve.policy.choice;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.AtomicReferenceArray;

import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the load of runners from reports that lag and from the own work sent and
 * completed since the reports were observed. The unit is the token position that waits or
 * runs in the decode phase: a running stream has one, a waiting prompt has as many as it
 * has tokens, weighted by the ratio of the decode to the prefill rate. Safe for use by
 * several threads, without locks.
 */
public final class RunnerLoadEstimator {

	/**
	 * How fast a report loses weight with its age. In simulations with 4 and 16 entries
	 * and reports of 1 to 2 s, 1 and 2 still cause herding and 4 does not.
	 */
	private static final double STALENESS_DECAY = 4;

	/** Weight of one completion in the average time that work stays at a runner. */
	private static final double RESIDENCE_WEIGHT = 0.05;

	private static final double INITIAL_RESIDENCE_MILLIS = 1000;

	private final AtomicReference<Double> residenceMillis = new AtomicReference<>(INITIAL_RESIDENCE_MILLIS);

	private final Clock clock;

	private final Map<RunnerId, Load> loads = new ConcurrentHashMap<>();

	/**
	 * Creates an empty estimate.
	 * @param clock measures when own work was sent
	 */
	public RunnerLoadEstimator(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Takes a report. A report that was observed before the last one is ignored.
	 * @param report the report
	 * @param prefillWeight weight of a waiting position, the ratio of the decode to the
	 * prefill rate
	 */
	public void report(LoadReport report, double prefillWeight) {
		load(report.runner()).report(report, prefillWeight, this.clock.millis());
	}

	/**
	 * Adds own work, or subtracts it with a negative number.
	 * @param runner the runner
	 * @param positions weighted token positions
	 */
	public void addOwnWork(RunnerId runner, double positions) {
		load(runner).add(positions, this.clock.millis());
	}

	/**
	 * Notes how long own work stayed at its runners.
	 * @param time from its dispatch to its end
	 */
	public void recordResidence(Duration time) {
		this.residenceMillis
			.updateAndGet((before) -> Math.max(1, before + RESIDENCE_WEIGHT * (time.toMillis() - before)));
	}

	/**
	 * Returns the estimated load.
	 * @param runner the runner
	 * @return weighted token positions: the report plus own work sent since, less own
	 * work completed since. The reported work of others counts less the older the report
	 * is compared with the time that work stays at a runner, since it has left by then
	 * and is replaced by work that is spread evenly. Entries that trust old reports would
	 * all send to the runners that were idle then.
	 */
	public double estimatedPositions(RunnerId runner) {
		Load load = this.loads.get(runner);
		return (load != null) ? load.positions(this.clock.millis(), this.residenceMillis.get()) : 0;
	}

	/**
	 * Returns the load of the last report.
	 * @param runner the runner
	 * @return weighted token positions, 0 without a report
	 */
	public double reportedPositions(RunnerId runner) {
		Load load = this.loads.get(runner);
		return (load != null) ? load.reportedLoad.reported() : 0;
	}

	/**
	 * Returns the own work in progress.
	 * @param runner the runner
	 * @return weighted token positions
	 */
	public double outstandingPositions(RunnerId runner) {
		Load load = this.loads.get(runner);
		return (load != null) ? load.ownWork.get() / Load.UNITS_PER_POSITION : 0;
	}

	/**
	 * Returns the last report.
	 * @param runner the runner
	 * @return the report, or empty if there is none
	 */
	public Optional<LoadReport> lastReport(RunnerId runner) {
		Load load = this.loads.get(runner);
		return Optional.ofNullable((load != null) ? load.reportedLoad.report() : null);
	}

	/**
	 * Tells whether a runner accepts new work according to its last report.
	 * @param runner the runner
	 * @return whether it reported that it is leaving
	 */
	public boolean leaving(RunnerId runner) {
		return lastReport(runner).map(LoadReport::state).filter(LoadReport.State.LEAVING::equals).isPresent();
	}

	private Load load(RunnerId runner) {
		return this.loads.computeIfAbsent(runner, (id) -> new Load());
	}

	/**
	 * Load of one runner.
	 */
	private static final class Load {

		/** Own work is counted in thousandths of a position. */
		static final double UNITS_PER_POSITION = 1000;

		/** Length of the period for which one mark of the own work is kept. */
		private static final long CHECKPOINT_MILLIS = 20;

		/** Number of marks; reports may lag by up to 5 s. */
		private static final int CHECKPOINTS = 256;

		private final AtomicLong ownWork = new AtomicLong();

		private final AtomicReferenceArray<WorkCheckpoint> checkpoints = new AtomicReferenceArray<>(CHECKPOINTS);

		private volatile ReportedLoad reportedLoad = new ReportedLoad(null, 0, 0);

		void add(double positions, long nowMillis) {
			long delta = Math.round(positions * UNITS_PER_POSITION);
			long period = nowMillis / CHECKPOINT_MILLIS;
			long before = this.ownWork.getAndAdd(delta);
			this.checkpoints.updateAndGet((int) (period % CHECKPOINTS), (mark) -> new WorkCheckpoint(period,
					(mark != null && mark.period() == period) ? mark.before() : before, this.ownWork.get()));
		}

		void report(LoadReport report, double prefillWeight, long nowMillis) {
			LoadReport last = this.reportedLoad.report();
			if (last != null && report.observedAt().isBefore(last.observedAt())) {
				return;
			}
			double waiting = Math.max(0, report.queuedTokens() - report.running());
			double positions = report.running() + waiting * prefillWeight;
			double others = Math.max(0, positions - ownAt(report.observedAt(), nowMillis) / UNITS_PER_POSITION);
			this.reportedLoad = new ReportedLoad(report, positions, others);
		}

		double positions(long nowMillis, double residenceMillis) {
			ReportedLoad now = this.reportedLoad;
			double present = Math.max(0, this.ownWork.get() / UNITS_PER_POSITION);
			if (now.report() == null || now.others() == 0) {
				return present;
			}
			double age = Math.max(0, nowMillis - now.report().observedAt().toEpochMilli());
			return present + now.others() * Math.exp(-STALENESS_DECAY * age / residenceMillis);
		}

		// Own work in progress at a past time: the end of the latest period up to then,
		// or
		// the start of the first period after it.
		private long ownAt(Instant time, long nowMillis) {
			long period = Math.min(time.toEpochMilli(), nowMillis) / CHECKPOINT_MILLIS;
			WorkCheckpoint latest = null;
			WorkCheckpoint first = null;
			for (int i = 0; i < CHECKPOINTS; i++) {
				WorkCheckpoint mark = this.checkpoints.get(i);
				if (mark != null && mark.period() <= period) {
					latest = (latest == null || mark.period() > latest.period()) ? mark : latest;
				}
				else if (mark != null) {
					first = (first == null || mark.period() < first.period()) ? mark : first;
				}
			}
			if (latest != null) {
				return latest.after();
			}
			return (first != null) ? first.before() : this.ownWork.get();
		}

	}

	private record WorkCheckpoint(long period, long before, long after) {

	}

	private record ReportedLoad(@Nullable LoadReport report, double reported, double others) {

	}

}
