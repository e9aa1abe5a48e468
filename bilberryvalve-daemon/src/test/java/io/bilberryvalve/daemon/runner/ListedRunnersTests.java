package io.bilberryvalve.daemon.runner;

import java.util.List;
import java.util.Map;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.call.RunnerRotation;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.peer.VmDirectory;
import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.VmList;
import io.bilberryvalve.platform.memory.MemoryVmList;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ListedRunnersTests {

	private static final DataCentreId PLACE = new DataCentreId("south-a");

	private static final ApplicationId ORDERS = new ApplicationId("orders");

	private static final Address ENGINE = new Address("10.0.0.1", 9000);

	private static final Address SERVICE = new Address("10.0.0.2", 9000);

	private final MemoryVmList list = new MemoryVmList();

	private final VmDirectory directory = new VmDirectory(List.of(), this.list);

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	// Guards against new work for a model runner whose VM is leaving before its load
	// report
	// says so.
	@Example
	void findsAModelRunnerOnALeavingVm() {
		ListedRunners runners = new ListedRunners(this.configuration, this.directory::leaving);
		this.configuration.setIfNewer(configuration());
		list(ENGINE, false);
		assertThat(runners.leaving(new RunnerId("engine"))).isFalse();
		list(ENGINE, true);
		assertThat(runners.leaving(new RunnerId("engine"))).isTrue();
		assertThat(runners.leaving(new RunnerId("other"))).isFalse();
	}

	// Guards against calls to an application runner whose VM is leaving.
	@Example
	void leavesOutAnApplicationRunnerOnALeavingVm() {
		RunnerRotation rotation = new RunnerRotation(this.configuration, new ManualClock(), this.directory::leaving);
		this.configuration.setIfNewer(configuration());
		list(SERVICE, false);
		assertThat(rotation.candidates(ORDERS)).hasSize(1);
		list(SERVICE, true);
		assertThat(rotation.candidates(ORDERS)).isEmpty();
	}

	private void list(Address address, boolean leaving) {
		this.list.set(List.of(new VmList.Vm(new VmId("vm-1"), PLACE, address, address, leaving)));
		this.directory.refresh();
	}

	private static FederationConfiguration configuration() {
		Runner engine = new Runner(new RunnerId("engine"), ENGINE, PLACE, new AcceleratorKind("kind"),
				new ModelVersion(new ModelId("m"), "1"), new LayerRange(0, 8), true, null);
		ApplicationRunner service = new ApplicationRunner(new RunnerId("service"), SERVICE, PLACE, ORDERS, false);
		FederationPart part = new FederationPart(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(engine),
				List.of(service));
		return new FederationConfiguration(1, part, Map.of());
	}

}
