package io.bilberryvalve.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * List of live and leaving VMs. It lags and is only a hint. Stages never complete
 * exceptionally.
 */
public interface VmList {

	/**
	 * Reads the list.
	 * @return the VMs
	 */
	CompletionStage<ReadResult<List<Vm>>> read();

	/**
	 * An entry VM.
	 *
	 * @param vm the VM
	 * @param dataCentre its data centre
	 * @param address address for callers
	 * @param peerAddress address for other daemons
	 * @param leaving whether the VM is leaving
	 */
	record Vm(VmId vm, DataCentreId dataCentre, Address address, Address peerAddress, boolean leaving) {

	}

}
