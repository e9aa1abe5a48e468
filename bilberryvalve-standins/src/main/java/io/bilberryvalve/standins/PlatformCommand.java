package io.bilberryvalve.standins;

import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.standins.http.Route;
import io.bilberryvalve.standins.platform.PlatformSettings;
import io.bilberryvalve.standins.platform.PlatformStandin;
import io.bilberryvalve.standins.platform.VmEntry;
import org.kohsuke.args4j.Option;

/**
 * Sub-command that serves the platform.
 */
public final class PlatformCommand extends ServeOptions {

	private static final PlatformSettings STANDARD = PlatformSettings.standard();

	@Option(name = "--writes-per-second", usage = "limit of table writes, and separately of object writes")
	private double writesPerSecond = STANDARD.writesPerSecond();

	@Option(name = "--reads-per-second", usage = "limit of table, object and VM list reads, each on its own")
	private double readsPerSecond = STANDARD.readsPerSecond();

	@Option(name = "--weight-reads-per-second", usage = "limit of weight store reads")
	private double weightReadsPerSecond = STANDARD.weightReadsPerSecond();

	@Option(name = "--weight-bytes", usage = "size of the weights of a model in bytes")
	private int weightBytes = STANDARD.weightBytes();

	@Option(name = "--vm-lag-ms", usage = "time in ms after which a change shows in the VM list")
	private long vmLagMillis = STANDARD.vmLag().toMillis();

	@Option(name = "--vm", metaVar = "VM,DATACENTRE,ADDRESS,PEERADDRESS",
			usage = "entry of the VM list that shows from the start; may be repeated")
	private List<String> vms = new ArrayList<>();

	@Override
	List<Route> routes() {
		PlatformSettings settings = new PlatformSettings(this.writesPerSecond, this.readsPerSecond,
				this.weightReadsPerSecond, this.weightBytes, millis(this.vmLagMillis),
				this.vms.stream().map(VmEntry::parse).toList());
		return new PlatformStandin(settings, clock()).routes();
	}

}
