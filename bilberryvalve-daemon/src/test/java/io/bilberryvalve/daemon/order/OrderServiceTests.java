package io.bilberryvalve.daemon.order;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.daemon.peer.IsolatedPeerNetwork;
import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.platform.memory.Fault;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.policy.lease.LeaseTimes;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that orders are sent only under a lease and only if the engine has not loaded
 * what the configuration assigns to it, and that an order whose reply was lost is
 * followed up. A runner that moves to another model must not stay blocked by the higher
 * fencing number of the lease it had before.
 */
class OrderServiceTests {

	private static final DataCentreId DATA_CENTRE = new DataCentreId("dc-1");

	private final ManualClock clock = new ManualClock();

	private final InMemoryTableService tables = new InMemoryTableService();

	private final SimulatedEngines engines = new SimulatedEngines();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final Lifecycle lifecycle = new Lifecycle();

	private OrderService service = start("vm-1_1");

	private long version;

	private OrderService start(String incarnation) {
		return new OrderService(new OrderService.DaemonIdentity(new VmId("vm-1"), incarnation), this.configuration,
				new IsolatedPeerNetwork(), this.lifecycle, this.tables, this.engines, LeaseTimes.defaults(), this.clock,
				new Random(1));
	}

	@Example
	void ordersOnlyWhatDiffersFromTheReport() {
		this.engines.holdings.put(new RunnerId("r-1"), LoadedModel.of(runner("r-1", "m", "1", true)));
		this.engines.holdings.put(new RunnerId("r-2"), LoadedModel.of(runner("r-2", "m", "0", true)));
		configure(runner("r-1", "m", "1", true), runner("r-2", "m", "1", true));
		pass(10);
		assertThat(this.engines.executed).containsExactly("r-2 m@1");
	}

	@Example
	void sendsNoOrderWithoutLease() {
		this.tables.writeFaults().setDefault(Fault.OUTAGE);
		configure(runner("r-1", "m", "1", true));
		configure(runner("r-1", "m", "2", true));
		pass(60);
		assertThat(this.engines.executed).isEmpty();
		assertThat(this.service.heldLeases()).isZero();
		this.tables.writeFaults().clear();
		pass(60);
		assertThat(this.engines.executed).containsExactly("r-1 m@2");
	}

	@Example
	void ordersChangeOfEngineThatReportsNothing() {
		this.engines.silentAboutHolding = true;
		configure(runner("r-1", "m", "1", false));
		pass(60);
		assertThat(this.engines.executed).isEmpty();
		configure(runner("r-1", "m", "2", false));
		pass(60);
		assertThat(this.engines.executed).containsExactly("r-1 m@2");
	}

	@Example
	void looksAgainAfterLostAnswer() {
		configure(runner("r-1", "m", "1", true));
		pass(10);
		this.engines.loseAnswer = true;
		configure(runner("r-1", "m", "2", true));
		pass(60);
		assertThat(this.engines.executed).containsExactly("r-1 m@2");
	}

	@Example
	void movesRunnerToModelWhoseLeaseIsYounger() {
		configure(runner("r-1", "m", "1", true));
		for (int i = 2; i < 6; i++) {
			this.service = start("vm-1_" + i);
			pass(60);
		}
		configure(runner("r-1", "m", "2", true));
		pass(10);
		configure(runner("r-1", "other", "1", true));
		pass(60);
		assertThat(this.engines.holdings.get(new RunnerId("r-1")).model().model()).isEqualTo(new ModelId("other"));
	}

	@Example
	void leavingDaemonReleasesItsLease() {
		configure(runner("r-1", "m", "1", true));
		pass(10);
		assertThat(this.service.heldLeases()).isOne();
		this.lifecycle.advanceTo(ServingState.LEAVING);
		pass(10);
		assertThat(this.service.heldLeases()).isZero();
		assertThat(this.tables.row(LeaseManager.TABLE, "m/south").value()).contains("\"holder\":\"\"");
	}

	private void pass(int seconds) {
		for (int i = 0; i < seconds * 2; i++) {
			this.clock.advance(Duration.ofMillis(500));
			this.service.tick();
		}
	}

	private void configure(Runner... runners) {
		FederationPart part = new FederationPart(List.of(),
				List.of(new FederationPart.DataCentre(DATA_CENTRE, new RegionId("south"))), List.of(), List.of(),
				List.of(), List.of(runners), List.of());
		this.configuration.setIfNewer(new FederationConfiguration(++this.version, part, Map.of()));
	}

	private static Runner runner(String id, String model, String version, boolean checksFencing) {
		return new Runner(new RunnerId(id), new Address("127.0.0.1", 9001), DATA_CENTRE, new AcceleratorKind("a"),
				new ModelVersion(new ModelId(model), version), new LayerRange(0, 16), checksFencing, null);
	}

}
