package io.bilberryvalve.platform.memory;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.VmList;

/**
 * VM list in memory with fault injection. Safe for use by several threads.
 */
public final class InMemoryVmList implements VmList {

	private final AtomicReference<List<Vm>> vms = new AtomicReference<>(List.of());

	private final FaultInjector readFaults = new FaultInjector();

	/**
	 * Replaces the list.
	 * @param next the VMs of the new list
	 * @return this list
	 */
	public InMemoryVmList set(List<Vm> next) {
		this.vms.set(List.copyOf(next));
		return this;
	}

	/**
	 * Returns the injector of faults into reads.
	 * @return the injector, owned by this list
	 */
	public FaultInjector readFaults() {
		return this.readFaults;
	}

	@Override
	public CompletionStage<ReadResult<List<Vm>>> read() {
		return this.readFaults.apply(() -> new ReadResult.Found<>(this.vms.get()), ReadResult.Failed::new,
				ReadResult.Failed::new);
	}

}
