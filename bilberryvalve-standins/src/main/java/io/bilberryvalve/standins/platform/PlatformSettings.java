package io.bilberryvalve.standins.platform;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the platform stand-in.
 *
 * @param writesPerSecond limit of transactions, and separately of object writes
 * @param readsPerSecond limit of table reads, and separately of object reads and of VM
 * list reads
 * @param weightReadsPerSecond limit of weight store reads
 * @param weightBytes size of each answer of the weight store in bytes
 * @param vmLag time after which a change shows in the VM list
 * @param vms entries of the VM list that show from the start
 */
public record PlatformSettings(double writesPerSecond, double readsPerSecond, double weightReadsPerSecond,
		int weightBytes, Duration vmLag, List<VmEntry> vms) {

	/**
	 * Copies the list.
	 */
	public PlatformSettings {
		vms = List.copyOf(vms);
	}

	/**
	 * Returns the rates of the platform that the design page describes: several hundred
	 * writes and about 2,000 reads a second.
	 * @return the settings
	 */
	public static PlatformSettings standard() {
		return new PlatformSettings(400, 2000, 5, 65536, Duration.ofSeconds(5), List.of());
	}

}
