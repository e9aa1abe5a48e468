package io.bilberryvalve.bench.control;

import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.sun.management.OperatingSystemMXBean;
import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.daemon.peer.ConfigurationStamps;
import io.bilberryvalve.daemon.peer.NettyPeerNetwork;
import io.bilberryvalve.daemon.peer.PeerSettings;
import io.bilberryvalve.daemon.share.AdmissionControl.AdmissionRequest;
import io.bilberryvalve.daemon.share.FairAdmission;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.policy.share.Capacity;
import io.bilberryvalve.policy.share.QueueLimits;
import io.bilberryvalve.wire.FederationSecret;

/**
 * The control planes of several daemons in one process: peer network and demand exchange.
 */
public final class ControlPlane implements AutoCloseable {

	private static final FederationSecret SECRET = FederationSecret.of("0123456789abcdef0123456789abcdef");

	private static final Duration SETTLE = Duration.ofSeconds(8);

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double BYTES_PER_MEGABYTE = 1 << 20;

	private static final double PERCENT = 100;

	private static final int STREAMS_PER_DAEMON = 4;

	private final Clock clock = new MonotonicClock();

	private final List<NettyPeerNetwork> networks = new ArrayList<>();

	private final List<FairAdmission> admissions = new ArrayList<>();

	private final OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

	private final long heapBefore = heap();

	private ControlPlane() {
	}

	/**
	 * Starts control planes and creates demand of each team at each of them.
	 * @param daemons number of daemons
	 * @param teams number of teams, divided among ten clubs
	 * @return the control planes, connected
	 * @throws Exception if an address cannot be used
	 */
	public static ControlPlane start(int daemons, int teams) throws Exception {
		ControlPlane plane = new ControlPlane();
		List<Address> addresses = freeAddresses(daemons);
		FederationConfiguration configuration = configuration(teams);
		for (int i = 0; i < daemons; i++) {
			plane.add(i, daemons, addresses, configuration);
		}
		// The figures are those of a fleet whose connections are open.
		Thread.sleep(SETTLE.toMillis());
		return plane;
	}

	/**
	 * Measures over a window.
	 * @param window length of the window
	 * @return usage of one daemon on average
	 * @throws InterruptedException if the thread is interrupted
	 */
	public Usage measure(Duration window) throws InterruptedException {
		long bytes = traffic();
		long processor = this.system.getProcessCpuTime();
		long start = System.nanoTime();
		// Traffic and processor time are measured in real time, over the window.
		Thread.sleep(window.toMillis());
		double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
		double core = (this.system.getProcessCpuTime() - processor) / NANOS_PER_SECOND / seconds;
		int daemons = this.networks.size();
		return new Usage((traffic() - bytes) / seconds / daemons, core / daemons * PERCENT,
				(heap() - this.heapBefore) / BYTES_PER_MEGABYTE / daemons);
	}

	@Override
	public void close() {
		this.admissions.forEach(FairAdmission::close);
		this.networks.forEach(NettyPeerNetwork::close);
	}

	private void add(int index, int daemons, List<Address> addresses, FederationConfiguration configuration) {
		Lifecycle lifecycle = new Lifecycle();
		VmId vm = new VmId("vm-" + index);
		DataCentreId place = new DataCentreId("dc-" + index % 3);
		Address own = addresses.get(index);
		PeerSettings settings = PeerSettings.of(vm, this.clock.millis(), place, own, own.host(), own.port(), SECRET);
		NettyPeerNetwork network = new NettyPeerNetwork(settings, lifecycle, () -> addresses, ConfigurationStamps.NONE,
				(dataCentre) -> new RegionId("region"), this.clock);
		network.start();
		lifecycle.advance(ServingState.READY);
		ConfigurationHolder holder = new ConfigurationHolder();
		holder.setIfNewer(configuration);
		Capacity capacity = new Capacity(STREAMS_PER_DAEMON * daemons, 0);
		FairAdmission admission = new FairAdmission(vm, 1, () -> capacity, holder, network, QueueLimits.defaults(),
				this.clock);
		admission.start();
		configuration.clubs()
			.values()
			.forEach((club) -> club.teams()
				.forEach((team) -> admission
					.admit(new AdmissionRequest(club.club(), team.team(), 100, 0, Duration.ofMinutes(10)))));
		this.networks.add(network);
		this.admissions.add(admission);
	}

	private long traffic() {
		return this.networks.stream().mapToLong(NettyPeerNetwork::traffic).sum();
	}

	private static long heap() {
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	private static List<Address> freeAddresses(int count) throws Exception {
		List<ServerSocket> sockets = new ArrayList<>();
		List<Address> addresses = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			sockets.add(socket);
			addresses.add(new Address("127.0.0.1", socket.getLocalPort()));
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return addresses;
	}

	private static FederationConfiguration configuration(int teams) {
		Map<ClubId, ClubPart> clubs = new HashMap<>();
		List<FederationPart.ClubShare> shares = new ArrayList<>();
		for (int club = 0; club < 10; club++) {
			ClubId id = new ClubId("club-" + club);
			List<ClubPart.Team> members = new ArrayList<>();
			for (int team = club; team < teams; team += 10) {
				members.add(new ClubPart.Team(new TeamId("team-" + team), 1));
			}
			shares.add(new FederationPart.ClubShare(id, 10));
			clubs.put(id, new ClubPart(id, members, List.of(), List.of(), List.of(), List.of()));
		}
		FederationPart part = new FederationPart(shares, List.of(), List.of(), List.of(), List.of(), List.of(),
				List.of());
		return new FederationConfiguration(1, part, clubs);
	}

	/**
	 * Usage of one daemon.
	 *
	 * @param bytesPerSecond bytes sent and received between daemons each second
	 * @param corePercent processor time in percent of a core
	 * @param heapMegabytes heap in MB
	 */
	public record Usage(double bytesPerSecond, double corePercent, double heapMegabytes) {

	}

}
