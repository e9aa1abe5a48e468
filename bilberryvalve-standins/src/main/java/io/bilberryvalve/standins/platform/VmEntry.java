package io.bilberryvalve.standins.platform;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * An entry of the VM list.
 *
 * @param vm the VM
 * @param dataCentre its data centre
 * @param address address for callers
 * @param peerAddress address for other daemons
 * @param state whether the VM stays
 */
public record VmEntry(@Nullable String vm, String dataCentre, String address, String peerAddress, State state) {

	/**
	 * Checks the entry.
	 * @throws IllegalArgumentException if a field other than the VM is missing
	 */
	public VmEntry {
		if (dataCentre == null || address == null || peerAddress == null || state == null) {
			throw new IllegalArgumentException("a VM entry needs dataCentre, address, peerAddress and state");
		}
	}

	/**
	 * Parses {@code vm,dataCentre,address,peerAddress}.
	 * @param text for example {@code pav-1,south-a,127.0.0.1:8001,127.0.0.1:8101}
	 * @return the entry of a VM that stays
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static VmEntry parse(String text) {
		String[] parts = text.split(",", -1);
		if (parts.length != 4) {
			throw new IllegalArgumentException(
					"VM '" + text + "' is not of the form vm,dataCentre,address,peerAddress");
		}
		return new VmEntry(parts[0], parts[1], parts[2], parts[3], State.LIVE);
	}

	/**
	 * Returns the entry under another name.
	 * @param name the VM
	 * @return the entry
	 */
	VmEntry named(String name) {
		return new VmEntry(name, this.dataCentre, this.address, this.peerAddress, this.state);
	}

	/**
	 * States of a VM.
	 */
	public enum State {

		/** The VM stays. */
		@JsonProperty("live")
		LIVE,

		/** The VM is about to be removed. */
		@JsonProperty("leaving")
		LEAVING

	}

	/**
	 * The document of {@code GET /v1/vms}.
	 *
	 * @param vms the entries
	 */
	record Listing(List<VmEntry> vms) {

		/**
		 * Copies the list.
		 */
		Listing {
			vms = List.copyOf(vms);
		}

	}

}
