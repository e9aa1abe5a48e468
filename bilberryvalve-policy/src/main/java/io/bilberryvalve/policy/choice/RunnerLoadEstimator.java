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
 * Estimates the load of runners from their reports, which lag, and from the own work (the
 * work of this entry) sent and completed since the reports were observed. The unit is the
 * token position that waits or runs, weighted by its time relative to a position in the
 * decode phase: a running stream has one position, and a waiting prompt has one for each
 * token, weighted by the ratio of the decode to the prefill rate. Safe for use by several
 * threads, without locks.
 */
public final class RunnerLoadEstimator {

	/**
	 * Decay of the weight of a report with its age, as an exponent for each mean
	 * residence time. In simulations with 4 and 16 entries and reports that are 1 to 2 s
	 * old, values of 1 and 2 still cause herding and 4 does not.
	 */
	private static final double STALENESS_DECAY = 4;

	/** Weight of one completion in the moving average of the residence time. */
	private static final double RESIDENCE_WEIGHT = 0.05;

	private static final double INITIAL_RESIDENCE_MILLIS = 1000;

	private final AtomicReference<Double> residenceMillis = new AtomicReference<>(INITIAL_RESIDENCE_MILLIS);

	private final Clock clock;

	private final Map<RunnerId, Load> loads = new ConcurrentHashMap<>();

	/**
	 * Creates an estimator without reports or own work.
	 * @param clock measures the age of reports and the time of own work
	 */
	public RunnerLoadEstimator(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records a report. A report that was observed before the last one is ignored.
	 * @param report load as the runner reported it
	 * @param prefillWeight weight of a waiting position: the ratio of the decode to the
	 * prefill rate of the runner
	 */
	public void report(LoadReport report, double prefillWeight) {
		load(report.runner()).report(report, prefillWeight, this.clock.millis());
	}

	/**
	 * Adds own work that was sent, or with a negative number subtracts own work that
	 * ended.
	 * @param runner runner that computes the work
	 * @param positions weighted token positions
	 */
	public void addOwnWork(RunnerId runner, double positions) {
		load(runner).add(positions, this.clock.millis());
	}

	/**
	 * Records the residence time of own work: how long it stayed at its runners.
	 * @param time time from dispatch to end
	 */
	public void recordResidence(Duration time) {
		this.residenceMillis
			.updateAndGet((before) -> Math.max(1, before + RESIDENCE_WEIGHT * (time.toMillis() - before)));
	}

	/**
	 * Returns the estimated load: the own work in progress plus the reported work of
	 * others. The work of others counts less the older the report is compared with the
	 * mean residence time, since that work has ended by then and has been replaced by
	 * work that is spread evenly. If entries trusted old reports, all of them would send
	 * to the runners that were idle at the time of the report.
	 * @param runner runner to look up
	 * @return weighted token positions, 0 if nothing is known
	 */
	public double estimatedPositions(RunnerId runner) {
		Load load = this.loads.get(runner);
		return (load != null) ? load.positions(this.clock.millis(), this.residenceMillis.get()) : 0;
	}

	/**
	 * Returns the load of the last report.
	 * @param runner runner to look up
	 * @return weighted token positions, 0 without a report
	 */
	public double reportedPositions(RunnerId runner) {
		Load load = this.loads.get(runner);
		return (load != null) ? load.reportedLoad.reported() : 0;
	}

	/**
	 * Returns the own work in progress.
	 * @param runner runner to look up
	 * @return weighted token positions, 0 without own work
	 */
	public double outstandingPositions(RunnerId runner) {
		Load load = this.loads.get(runner);
		return (load != null) ? load.ownWork.get() / Load.UNITS_PER_POSITION : 0;
	}

	/**
	 * Returns the last report.
	 * @param runner runner to look up
	 * @return the report, or empty if there is none
	 */
	public Optional<LoadReport> lastReport(RunnerId runner) {
		Load load = this.loads.get(runner);
		return Optional.ofNullable((load != null) ? load.reportedLoad.report() : null);
	}

	/**
	 * Tells whether a runner is leaving according to its last report.
	 * @param runner runner to look up
	 * @return whether it reported that it accepts no new work; false without a report
	 */
	public boolean leaving(RunnerId runner) {
		return lastReport(runner).map(LoadReport::state).filter(LoadReport.State.LEAVING::equals).isPresent();
	}

	private Load load(RunnerId runner) {
		return this.loads.computeIfAbsent(runner, (id) -> new Load());
	}

	/**
	 * Load of one runner, with checkpoints of the recent own work.
	 */
	private static final class Load {

		/** Own work is counted in thousandths of a position. */
		static final double UNITS_PER_POSITION = 1000;

		/** Length of the period that one checkpoint of the own work covers. */
		private static final long CHECKPOINT_MILLIS = 20;

		/** Number of checkpoints kept; reports may lag by up to 5 s. */
		private static final int CHECKPOINTS = 256;

		private final AtomicLong ownWork = new AtomicLong();

		private final AtomicReferenceArray<WorkCheckpoint> checkpoints = new AtomicReferenceArray<>(CHECKPOINTS);

		private volatile ReportedLoad reportedLoad = new ReportedLoad(null, 0, 0);

		void add(double positions, long nowMillis) {
			long delta = Math.round(positions * UNITS_PER_POSITION);
			long period = nowMillis / CHECKPOINT_MILLIS;
			long before = this.ownWork.getAndAdd(delta);
			this.checkpoints.updateAndGet((int) (period % CHECKPOINTS),
					(checkpoint) -> new WorkCheckpoint(period,
							(checkpoint != null && checkpoint.period() == period) ? checkpoint.before() : before,
							this.ownWork.get()));
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

		// Returns the own work in progress at a past time: the value at the end of the
		// latest period up to then or, without one, at the start of the first period
		// after it.
		private long ownAt(Instant time, long nowMillis) {
			long period = Math.min(time.toEpochMilli(), nowMillis) / CHECKPOINT_MILLIS;
			WorkCheckpoint latest = null;
			WorkCheckpoint first = null;
			for (int i = 0; i < CHECKPOINTS; i++) {
				WorkCheckpoint checkpoint = this.checkpoints.get(i);
				if (checkpoint != null && checkpoint.period() <= period) {
					latest = (latest == null || checkpoint.period() > latest.period()) ? checkpoint : latest;
				}
				else if (checkpoint != null) {
					first = (first == null || checkpoint.period() < first.period()) ? checkpoint : first;
				}
			}
			if (latest != null) {
				return latest.after();
			}
			return (first != null) ? first.before() : this.ownWork.get();
		}

	}

	/**
	 * Own work in progress at the start and at the end of a period, in thousandths of a
	 * position.
	 *
	 * @param period number of the period since the epoch
	 * @param before own work before the first change in the period
	 * @param after own work after the last change in the period
	 */
	private record WorkCheckpoint(long period, long before, long after) {

	}

	/**
	 * Last report of a runner and the load computed from it, in weighted token positions.
	 *
	 * @param report the last report, or {@code null} if there is none
	 * @param reported load of the report
	 * @param others part of that load that is not own work of this entry
	 */
	private record ReportedLoad(@Nullable LoadReport report, double reported, double others) {

	}

}
