package io.bilberryvalve.daemon.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.lifecycle.ManualTimer;
import io.bilberryvalve.daemon.peer.SimulatedNetwork;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.PlatformServices;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.memory.InMemoryObjectStore;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.platform.memory.InMemoryVmList;
import io.bilberryvalve.platform.memory.InMemoryWeightStore;
import io.bilberryvalve.policy.rollout.ConfigurationHead;
import io.bilberryvalve.policy.rollout.RefreshSchedule;

/**
 * Simulates daemons that submit and exchange configurations through a table service, an
 * object store and a network, all of which tests can make fail.
 */
final class RolloutSimulation {

	final ManualClock clock = new ManualClock();

	final InMemoryTableService tables = new InMemoryTableService();

	final InMemoryObjectStore objects = new InMemoryObjectStore();

	final SimulatedNetwork network = new SimulatedNetwork();

	final RolloutHistory history = new RolloutHistory();

	private final PlatformServices platform = new PlatformServices(this.tables, this.objects, new InMemoryWeightStore(),
			new InMemoryVmList());

	private final List<Member> members = new ArrayList<>();

	private final List<Long> starts = new ArrayList<>();

	private int submissions;

	private int incarnations;

	RolloutSimulation(int daemons) {
		for (int i = 0; i < daemons; i++) {
			this.members.add(start(i));
		}
	}

	private Member start(int index) {
		long floor = this.members.stream().mapToLong(Member::version).max().orElse(0);
		Member member = new Member(index, "d" + this.incarnations++);
		member.rollout
			.addReadyListener(() -> this.starts.add(member.version() - (this.network.isFullyConnected() ? floor : 0)));
		member.rollout.start();
		return member;
	}

	String submit(int daemon, String part, boolean stale) {
		String id = "s" + this.submissions++;
		submit(daemon, id, part, stale);
		return id;
	}

	void submit(int daemon, String id, String part, boolean stale) {
		Member member = this.members.get(daemon);
		long base = Math.max(0, member.version() - (stale ? 1 : 0));
		String name = id + "/" + part;
		this.history.recordSent(name);
		member.submissions.submit(id, base, part, "text of " + id)
			.thenAccept((result) -> this.history.recordResult(name, result));
	}

	void restart(int daemon) {
		this.members.get(daemon).rollout.stop();
		this.members.get(daemon).killed = true;
		this.members.set(daemon, start(daemon));
	}

	void advance(Duration duration) {
		this.clock.advance(duration);
		this.members.forEach((member) -> member.timer.runDue());
		observe();
	}

	void observe() {
		Row row = this.tables.row(HeadRow.TABLE, HeadRow.KEY);
		if (row != null) {
			ConfigurationHead head = HeadRow.decode(row.value());
			head.recent()
				.forEach((accepted) -> this.history.recordStored(accepted.submission() + "/" + accepted.part(),
						accepted.version()));
		}
	}

	void settle() {
		this.tables.writeFaults().clear();
		this.tables.readFaults().clear();
		this.objects.writeFaults().clear();
		this.objects.readFaults().clear();
		this.network.reconnectAll();
		for (int i = 0; i < 60; i++) {
			this.tables.writeFaults().release();
			this.tables.readFaults().release();
			this.tables.writeFaults().deliverLate();
			advance(Duration.ofMillis(200));
		}
		this.history.checkFinalVersion(storedVersion());
	}

	long storedVersion() {
		Row row = this.tables.row(HeadRow.TABLE, HeadRow.KEY);
		return (row != null) ? HeadRow.decode(row.value()).version() : 0;
	}

	List<Long> activeVersions() {
		return this.members.stream().map(Member::version).toList();
	}

	/**
	 * Returns one number for each daemon that became ready: its active version at that
	 * time minus the highest version active at any daemon when it started. If the network
	 * was partitioned when the daemon became ready, nothing is subtracted.
	 */
	List<Long> starts() {
		return this.starts;
	}

	private final class Member {

		private final ConfigurationHolder holder = new ConfigurationHolder();

		private final ManualTimer timer = new ManualTimer(RolloutSimulation.this.clock);

		private final ConfigurationRollout rollout;

		private final SubmissionService submissions;

		private boolean killed;

		Member(int index, String incarnation) {
			RolloutSimulation simulation = RolloutSimulation.this;
			Parser parser = new Parser();
			this.rollout = new ConfigurationRollout(this.holder, parser, simulation.platform,
					simulation.network.join(index), this.timer, new RefreshSchedule(100, new Random(index)), () -> 3,
					new Random(index));
			this.submissions = new SubmissionService(simulation.tables, this.rollout, parser, simulation.clock,
					this.timer, Duration.ofSeconds(2));
			this.holder.addListener((configuration) -> {
				if (!this.killed && configuration.version() > 0) {
					ConfigurationSnapshot now = this.rollout.snapshot();
					simulation.history.recordActivation(incarnation, configuration.version(), now.digest());
				}
			});
		}

		long version() {
			return this.holder.current().version();
		}

	}

	/**
	 * Parser that accepts any text.
	 */
	private static final class Parser implements ConfigurationParser {

		@Override
		public Result<FederationConfiguration> parse(long version, Map<String, String> texts) {
			return Result.ok(new FederationConfiguration(version, FederationPart.empty(), Map.of()));
		}

		@Override
		public Result<FederationConfiguration> check(long version, Map<String, String> texts) {
			return parse(version, texts);
		}

		@Override
		public List<String> differences(Map<String, String> before, Map<String, String> after) {
			return List.of();
		}

	}

}
