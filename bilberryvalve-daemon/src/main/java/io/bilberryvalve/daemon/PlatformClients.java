package io.bilberryvalve.daemon;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.config.DaemonSettings;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.platform.Platform;
import io.bilberryvalve.platform.http.HttpObjects;
import io.bilberryvalve.platform.http.HttpService;
import io.bilberryvalve.platform.http.HttpTables;
import io.bilberryvalve.platform.http.HttpVmList;
import io.bilberryvalve.platform.http.HttpWeights;

/**
 * Creates the HTTP clients of the platform services: tables, objects, model weights and
 * the VM list.
 */
final class PlatformClients {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private PlatformClients() {
	}

	static Platform create(DaemonSettings settings) {
		DaemonSettings.Platform addresses = settings.platform();
		HttpService objects = service(addresses.objects(), settings);
		return new Platform(new HttpTables(service(addresses.tables(), settings)), new HttpObjects(objects),
				new HttpWeights(objects), new HttpVmList(service(addresses.vmList(), settings)));
	}

	private static HttpService service(Address address, DaemonSettings settings) {
		return new HttpService(List.of(address), CONNECT_TIMEOUT, settings.limits().storeTimeout());
	}

}
