package io.bilberryvalve.platform.memory;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.VmList;

/**
 * VM list in memory.
 */
public final class MemoryVmList implements VmList {

	private final AtomicReference<List<Vm>> vms = new AtomicReference<>(List.of());

	private final Faults reads = new Faults();

	/**
	 * Replaces the list.
	 * @param next the VMs
	 * @return this list
	 */
	public MemoryVmList set(List<Vm> next) {
		this.vms.set(List.copyOf(next));
		return this;
	}

	/**
	 * Returns the faults of reads.
	 * @return the faults
	 */
	public Faults reads() {
		return this.reads;
	}

	@Override
	public CompletionStage<Fetched<List<Vm>>> read() {
		return this.reads.apply(() -> new Fetched.Found<>(this.vms.get()), Fetched.Failed::new, Fetched.Failed::new);
	}

}
