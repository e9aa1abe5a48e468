package io.bilberryvalve.daemon;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.config.DaemonSettings;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.platform.PlatformServices;
import io.bilberryvalve.platform.http.FailoverHttpClient;
import io.bilberryvalve.platform.http.HttpObjectStore;
import io.bilberryvalve.platform.http.HttpTableService;
import io.bilberryvalve.platform.http.HttpVmList;
import io.bilberryvalve.platform.http.HttpWeightStore;

/**
 * Creates the clients of the platform services.
 */
final class PlatformClients {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private PlatformClients() {
	}

	static PlatformServices connect(DaemonSettings settings) {
		DaemonSettings.Platform addresses = settings.platform();
		FailoverHttpClient objects = service(addresses.objects(), settings);
		return new PlatformServices(new HttpTableService(service(addresses.tables(), settings)),
				new HttpObjectStore(objects), new HttpWeightStore(objects),
				new HttpVmList(service(addresses.vmList(), settings)));
	}

	private static FailoverHttpClient service(Address address, DaemonSettings settings) {
		return new FailoverHttpClient(List.of(address), CONNECT_TIMEOUT, settings.limits().storeTimeout());
	}

}
