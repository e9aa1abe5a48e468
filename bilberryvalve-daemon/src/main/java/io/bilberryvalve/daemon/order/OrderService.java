package io.bilberryvalve.daemon.order;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.daemon.peer.Peer;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseScope;
import io.bilberryvalve.policy.lease.LeaseTimes;

/**
 * Competes for the leases for which this daemon is a candidate, one for each model and
 * region, and sends orders to the engines of the leases that it holds. {@link #tick()}
 * does all work and must be called several times a second.
 */
public final class OrderService {

	private final DaemonIdentity self;

	private final PeerNetwork peers;

	private final Lifecycle lifecycle;

	private final TableService tables;

	private final EngineOrderClient orderClient;

	private final LeaseTimes times;

	private final Clock clock;

	private final RandomGenerator random;

	private final Map<LeaseScope, LeaseManager> leases = new TreeMap<>();

	private final Map<RunnerId, EngineReconciler> engines = new HashMap<>();

	private Map<LeaseScope, List<RunnerId>> runnersByScope = Map.of();

	/**
	 * Creates the service.
	 * @param self identity of this daemon
	 * @param configuration provides the runners
	 * @param peers network to the other daemons
	 * @param lifecycle state of this daemon; a daemon that is draining or leaving is not
	 * a candidate
	 * @param tables table service that holds the leases
	 * @param orderClient sends orders
	 * @param times durations of leases and orders
	 * @param clock monotonic clock
	 * @param random spreads the requests to the table service over time
	 */
	public OrderService(DaemonIdentity self, ConfigurationSource configuration, PeerNetwork peers, Lifecycle lifecycle,
			TableService tables, EngineOrderClient orderClient, LeaseTimes times, Clock clock, RandomGenerator random) {
		this.self = self;
		this.peers = peers;
		this.lifecycle = lifecycle;
		this.tables = tables;
		this.orderClient = orderClient;
		this.times = times;
		this.clock = clock;
		this.random = random;
		configuration.addListener(this::configure);
	}

	/**
	 * Acquires, renews or releases leases and sends the orders that are due.
	 */
	public void tick() {
		List<VmId> live = liveVms();
		for (LeaseStep step : steps(live)) {
			step.lease().tick(step.isCandidate());
			step.engines().forEach((engine) -> engine.tick(step.lease()::grant));
		}
	}

	/**
	 * Returns the number of leases that this daemon holds now.
	 * @return the number of valid leases, 0 or more
	 */
	public synchronized int heldLeases() {
		return (int) this.leases.values().stream().filter((lease) -> lease.grant().isPresent()).count();
	}

	private synchronized List<LeaseStep> steps(List<VmId> live) {
		List<LeaseStep> steps = new ArrayList<>();
		for (Map.Entry<LeaseScope, LeaseManager> entry : this.leases.entrySet()) {
			List<RunnerId> runners = this.runnersByScope.getOrDefault(entry.getKey(), List.of());
			boolean isCandidate = !runners.isEmpty() && entry.getKey().candidates(live).contains(this.self.vm());
			steps.add(new LeaseStep(entry.getValue(), isCandidate, runners.stream().map(this.engines::get).toList()));
		}
		return steps;
	}

	private List<VmId> liveVms() {
		List<VmId> live = new ArrayList<>();
		for (Peer peer : this.peers.peers()) {
			if (peer.state() == Peer.State.LIVE) {
				live.add(peer.vm());
			}
		}
		if (this.lifecycle.state().compareTo(ServingState.READY) <= 0) {
			live.add(this.self.vm());
		}
		return live;
	}

	private synchronized void configure(FederationConfiguration configuration) {
		Map<DataCentreId, RegionId> regions = new HashMap<>();
		for (FederationPart.DataCentre dataCentre : configuration.federation().dataCentres()) {
			regions.put(dataCentre.dataCentre(), dataCentre.region());
		}
		Map<LeaseScope, List<RunnerId>> next = new TreeMap<>();
		Set<RunnerId> configured = new HashSet<>();
		for (Runner runner : configuration.federation().runners()) {
			RegionId region = regions.get(runner.dataCentre());
			if (region != null) {
				configured.add(runner.id());
				next.computeIfAbsent(new LeaseScope(runner.model().model(), region), (scope) -> new ArrayList<>())
					.add(runner.id());
				this.engines
					.computeIfAbsent(runner.id(),
							(id) -> new EngineReconciler(runner, this.orderClient, this.times, this.clock))
					.configure(runner, configuration.version());
			}
		}
		this.engines.keySet().retainAll(configured);
		next.keySet().forEach((scope) -> this.leases.computeIfAbsent(scope, this::createManager));
		this.runnersByScope = next;
	}

	private LeaseManager createManager(LeaseScope scope) {
		LeaseCandidate holder = new LeaseCandidate(this.self.incarnation(), this.times, this.clock, this.random);
		return new LeaseManager(scope.toString(), holder, this.tables);
	}

	/**
	 * Identity of this daemon.
	 *
	 * @param vm virtual machine on which it runs
	 * @param incarnation text that is unique to this run of the daemon
	 */
	public record DaemonIdentity(VmId vm, String incarnation) {

	}

	private record LeaseStep(LeaseManager lease, boolean isCandidate, List<EngineReconciler> engines) {

	}

}
