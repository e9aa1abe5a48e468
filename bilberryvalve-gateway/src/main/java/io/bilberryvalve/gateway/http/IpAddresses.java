package io.bilberryvalve.gateway.http;

import io.bilberryvalve.model.Address;
import io.netty.util.NetUtil;

/**
 * Parses addresses that other processes have written. They must be IP addresses, since an
 * event loop that looked up a host name would be blocked until the answer.
 */
public final class IpAddresses {

	/** Longest form of an address: an IPv6 host in square brackets with its port. */
	private static final int MAX_LENGTH = 64;

	private IpAddresses() {
	}

	/**
	 * Parses an IP address and a port.
	 * @param text for example {@code 10.1.0.9:8001} or {@code [::1]:8001}
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have this form, or the host
	 * is a name
	 */
	public static Address parse(String text) {
		if (text.length() > MAX_LENGTH) {
			throw new IllegalArgumentException("an address of " + text.length() + " characters is too long");
		}
		Address address = Address.parse(text);
		String host = address.host();
		if (host.indexOf('%') >= 0 || !(NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host))) {
			throw new IllegalArgumentException("host '" + host + "' is not an IP address; give no name");
		}
		return address;
	}

}
