package io.bilberryvalve.model;

/**
 * A TCP address: an IP address and a port.
 *
 * @param host IP address, without square brackets
 * @param port port, 1 to 65535
 */
public record Address(String host, int port) {

	private static final int MAX_PORT = 65535;

	/**
	 * Checks the address.
	 * @throws IllegalArgumentException if the host is blank or the port is out of range
	 */
	public Address {
		if (host.isBlank()) {
			throw new IllegalArgumentException("host is blank; give an IP address");
		}
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port " + port + " is out of range; use 1 to " + MAX_PORT);
		}
	}

	/**
	 * Parses {@code host:port}. An IPv6 host is enclosed in square brackets.
	 * @param text for example {@code 127.0.0.1:8001} or {@code [::1]:8001}
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static Address parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("address '" + text + "' has no port; write host:port");
		}
		String host = text.substring(0, colon);
		if (host.startsWith("[") && host.endsWith("]")) {
			host = host.substring(1, host.length() - 1);
		}
		try {
			return new Address(host, Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("address '" + text + "' has no numeric port; write host:port", ex);
		}
	}

	@Override
	public String toString() {
		return (this.host.indexOf(':') < 0) ? this.host + ":" + this.port : "[" + this.host + "]:" + this.port;
	}

}
