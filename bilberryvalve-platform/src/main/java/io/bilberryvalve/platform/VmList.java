package io.bilberryvalve.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * List of the entry VMs that are live or leaving. It lags behind the actual state and is
 * only a hint. Stages never complete exceptionally.
 */
public interface VmList {

	/**
	 * Reads the list.
	 * @return the listed VMs
	 */
	CompletionStage<ReadResult<List<Vm>>> read();

	/**
	 * A VM that runs an entry.
	 *
	 * @param vm identifier of the VM
	 * @param dataCentre data centre of the VM
	 * @param address address on which the entry accepts callers
	 * @param peerAddress address on which the entry accepts other daemons
	 * @param leaving whether the VM is leaving
	 */
	record Vm(VmId vm, DataCentreId dataCentre, Address address, Address peerAddress, boolean leaving) {

	}

}
