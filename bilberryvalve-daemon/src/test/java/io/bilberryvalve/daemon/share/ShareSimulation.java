package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.share.Capacity;
import io.bilberryvalve.policy.share.QueueLimits;

/**
 * Several entries with real admission over simulated runners and callers. A request needs
 * 100 ms until its first token and 10 ms for each further one; if more streams run than
 * the runners can take, all times grow in proportion.
 */
final class ShareSimulation {

	static final int STREAMS = 200;

	static final int FIRST_TOKEN_MILLIS = 100;

	private static final int TOKEN_MILLIS = 10;

	private static final int TICK_MILLIS = 25;

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	final ManualClock clock = new ManualClock();

	final SimulatedNetwork network;

	final List<FairAdmission> entries = new ArrayList<>();

	final Map<TeamId, List<Integer>> firstTokenMillis = new HashMap<>();

	final Map<TeamId, Long> tokens = new TreeMap<>();

	final List<Source> sources = new ArrayList<>();

	int highestLimitSum;

	int highestRunning;

	int highestWaiting;

	private final Random random;

	private final TreeMap<Long, List<Runnable>> ends = new TreeMap<>();

	private long measureFromMillis;

	private int running;

	ShareSimulation(long seed, int entryCount, Map<String, Map<String, Double>> teamsByClub) {
		this.random = new Random(seed);
		this.network = new SimulatedNetwork(this.clock, new Random(seed + 1));
		ConfigurationHolder configuration = new ConfigurationHolder();
		configuration.setIfNewer(configuration(teamsByClub));
		for (int i = 0; i < entryCount; i++) {
			VmId vm = new VmId("vm-" + i);
			this.entries.add(new FairAdmission(vm, 1, () -> new Capacity(STREAMS, STREAMS * 1000.0 / TOKEN_MILLIS),
					configuration, this.network.join(vm), QueueLimits.defaults(), this.clock));
		}
	}

	/**
	 * Adds callers of a team.
	 * @param club the club
	 * @param team the team
	 * @param perSecond mean number of requests a second, with exponential gaps
	 * @param output mean number of output tokens
	 * @param entry entry that the callers use, or -1 for all
	 */
	void source(String club, String team, double perSecond, int output, int entry) {
		this.sources.add(new Source(new ClubId(club), new TeamId(team), perSecond, output, entry));
	}

	/**
	 * Runs for a while and measures only what arrives after the warm-up.
	 * @param warmUp time before the measurement
	 * @param measured time of the measurement
	 */
	void run(Duration warmUp, Duration measured) {
		this.measureFromMillis = this.clock.millis() + warmUp.toMillis();
		long end = this.measureFromMillis + measured.toMillis();
		while (this.clock.millis() < end) {
			this.clock.advance(Duration.ofMillis(1));
			step();
		}
	}

	double percentile95(String team) {
		List<Integer> sorted = this.firstTokenMillis.get(new TeamId(team)).stream().sorted().toList();
		return sorted.get((int) (0.95 * sorted.size()));
	}

	static double jain(double... values) {
		double sum = Arrays.stream(values).sum();
		double squares = Arrays.stream(values).map((value) -> value * value).sum();
		return sum * sum / (values.length * squares);
	}

	private void step() {
		long now = this.clock.millis();
		this.network.deliver();
		while (!this.ends.isEmpty() && this.ends.firstKey() <= now) {
			this.ends.pollFirstEntry().getValue().forEach(Runnable::run);
		}
		this.sources.forEach((source) -> arrivals(source, now));
		for (int i = 0; i < this.entries.size(); i++) {
			// Entries do not tick at the same time.
			if ((now + 7 * i) % TICK_MILLIS == 0) {
				this.entries.get(i).tick();
			}
		}
		observe(now);
	}

	private void observe(long now) {
		if (now < this.measureFromMillis) {
			return;
		}
		List<AdmissionStatus> states = this.entries.stream().map(FairAdmission::status).toList();
		this.highestLimitSum = Math.max(this.highestLimitSum, states.stream().mapToInt(AdmissionStatus::limit).sum());
		this.highestRunning = Math.max(this.highestRunning, this.running);
		this.highestWaiting = Math.max(this.highestWaiting,
				states.stream().mapToInt(AdmissionStatus::waiting).max().orElse(0));
	}

	private void arrivals(Source source, long now) {
		while (source.nextMillis <= now) {
			source.nextMillis += -Math.log(1 - this.random.nextDouble()) * 1000 / source.perSecond;
			int entry = (source.entry >= 0) ? source.entry : this.random.nextInt(this.entries.size());
			int output = source.output / 2 + this.random.nextInt(source.output + 1);
			request(source, this.entries.get(entry), output, now);
		}
	}

	private void request(Source source, FairAdmission entry, int output, long arrival) {
		entry.admit(new AdmissionControl.AdmissionRequest(source.club, source.team, output, 0, TIMEOUT))
			.thenAccept((result) -> {
				if (result instanceof Result.Ok<AdmissionControl.Permit> ok) {
					start(source, ok.value(), output, arrival);
				}
			});
	}

	private void start(Source source, AdmissionControl.Permit permit, int output, long arrival) {
		long now = this.clock.millis();
		this.running++;
		double slowdown = Math.max(1, (double) this.running / STREAMS);
		long firstToken = now + Math.round(FIRST_TOKEN_MILLIS * slowdown);
		long end = firstToken + Math.round(output * TOKEN_MILLIS * slowdown);
		if (arrival >= this.measureFromMillis) {
			this.firstTokenMillis.computeIfAbsent(source.team, (team) -> new ArrayList<>())
				.add((int) (firstToken - arrival));
		}
		this.ends.computeIfAbsent(end, (time) -> new ArrayList<>()).add(() -> {
			this.running--;
			if (this.clock.millis() >= this.measureFromMillis) {
				this.tokens.merge(source.team, (long) output, Long::sum);
			}
			permit.release(output);
		});
	}

	private static FederationConfiguration configuration(Map<String, Map<String, Double>> teamsByClub) {
		List<FederationPart.ClubShare> shares = new ArrayList<>();
		Map<ClubId, ClubPart> clubs = new HashMap<>();
		teamsByClub.forEach((name, weights) -> {
			ClubId club = new ClubId(name);
			shares.add(new FederationPart.ClubShare(club, 100.0 / teamsByClub.size()));
			List<ClubPart.Team> teams = new ArrayList<>();
			weights.forEach((team, weight) -> teams.add(new ClubPart.Team(new TeamId(team), weight)));
			clubs.put(club, new ClubPart(club, teams, List.of(), List.of(), List.of(), List.of()));
		});
		FederationPart part = new FederationPart(shares, List.of(), List.of(), List.of(), List.of(), List.of(),
				List.of());
		return new FederationConfiguration(1, part, clubs);
	}

	/**
	 * Callers of a team.
	 */
	static final class Source {

		private final ClubId club;

		private final TeamId team;

		private final double perSecond;

		private final int output;

		private final int entry;

		private double nextMillis;

		Source(ClubId club, TeamId team, double perSecond, int output, int entry) {
			this.club = club;
			this.team = team;
			this.perSecond = perSecond;
			this.output = output;
			this.entry = entry;
		}

	}

}
