package io.bilberryvalve.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon. {@link SettingsFile} reads them from a file.
 *
 * @param vm VM on which the daemon runs
 * @param region region of the VM
 * @param dataCentre data centre of the VM
 * @param callerAddress where the daemon listens for callers and operators
 * @param http2Address where the daemon listens for callers that use HTTP/2 with prior
 * knowledge, or {@code null} for none
 * @param peerAddress where the daemon listens for other daemons
 * @param platform addresses of the platform services
 * @param federationSecretFile file with the secret that authenticates daemons to each
 * other
 * @param bootstrapOperatorDigest digest of the operator key that may submit the
 * federation part before any operator is configured, or {@code null} for none
 * @param entryListTtl how long callers may cache the list of entries
 * @param seedPeers peer addresses to contact before the VM list is known
 * @param limits limits
 */
public record DaemonSettings(VmId vm, RegionId region, DataCentreId dataCentre, Address callerAddress,
		@Nullable Address http2Address, Address peerAddress, Platform platform, Path federationSecretFile,
		@Nullable String bootstrapOperatorDigest, Duration entryListTtl, List<Address> seedPeers, DaemonLimits limits) {

	/** Time for which callers may cache the list of entries unless the settings say. */
	public static final Duration DEFAULT_ENTRY_LIST_TTL = Duration.ofSeconds(5);

	/**
	 * Checks the settings.
	 * @throws IllegalArgumentException if both addresses are the same, the time to live
	 * is not positive or the digest is malformed
	 */
	public DaemonSettings {
		seedPeers = List.copyOf(seedPeers);
		if (callerAddress.equals(peerAddress)) {
			throw new IllegalArgumentException("callerAddress and peerAddress are both " + callerAddress
					+ "; give the daemon two different ports");
		}
		if (callerAddress.equals(http2Address) || peerAddress.equals(http2Address)) {
			throw new IllegalArgumentException("http2Address " + http2Address
					+ " is also the address for callers or peers; give it a port of its own");
		}
		if (entryListTtl.isNegative() || entryListTtl.isZero()) {
			throw new IllegalArgumentException("entryListTtl is not positive; use at least 1 ms");
		}
		if (bootstrapOperatorDigest != null) {
			KeyDigest.check(bootstrapOperatorDigest);
		}
	}

	/**
	 * Addresses of the platform services.
	 *
	 * @param tables table service
	 * @param objects object store
	 * @param vmList list of live and leaving VMs
	 */
	public record Platform(Address tables, Address objects, Address vmList) {

	}

}
