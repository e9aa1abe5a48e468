package io.bilberryvalve.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.bilberryvalve.model.Address;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * Options of commands that talk to an entry.
 */
abstract class EntryOptions extends LocalOptions {

	/** Environment variable with entry addresses, separated by commas. */
	static final String ENTRY_VARIABLE = "BILBERRYVALVE_ENTRY";

	/** Environment variable with the key. */
	static final String KEY_VARIABLE = "BILBERRYVALVE_KEY";

	@Option(name = "--entry", metaVar = "HOST:PORT",
			usage = "address of an entry; may be repeated, the next one is tried when one refuses the connection "
					+ "(default: $" + ENTRY_VARIABLE + ", separated by commas)")
	List<String> entries = new ArrayList<>();

	@Option(name = "--key-file", metaVar = "FILE", usage = "file with the key (default: $" + KEY_VARIABLE + ")")
	@Nullable Path keyFile;

	@Option(name = "--timeout", metaVar = "SECONDS",
			usage = "time limit of one request, and longest silence within a reply (default: 10)")
	int timeoutSeconds = 10;

	/**
	 * Returns the addresses of the entries.
	 * @param console gives the environment
	 * @return the addresses, possibly none
	 * @throws CommandException if an address is malformed
	 */
	List<Address> addresses(Console console) {
		List<String> texts = this.entries;
		String variable = console.environment().get(ENTRY_VARIABLE);
		if (texts.isEmpty() && variable != null && !variable.isBlank()) {
			texts = Arrays.asList(variable.trim().split("\\s*,\\s*"));
		}
		try {
			return texts.stream().map(EntryOptions::address).toList();
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.USAGE, "--entry: " + ex.getMessage());
		}
	}

	private static Address address(String text) {
		Address address = Address.parse(text);
		if (URI.create("http://" + address).getHost() == null) {
			throw new IllegalArgumentException("host of '" + text + "' is not valid; give an IP address");
		}
		return address;
	}

	/**
	 * Returns a client for the given entries.
	 * @param console gives the environment
	 * @return the client
	 * @throws CommandException if no entry is given or the key cannot be read
	 */
	EntryClient client(Console console) {
		List<Address> addresses = addresses(console);
		if (addresses.isEmpty()) {
			throw new CommandException(ExitCode.USAGE,
					"no entry is given; add --entry HOST:PORT or set " + ENTRY_VARIABLE);
		}
		return client(console, addresses);
	}

	EntryClient client(Console console, List<Address> addresses) {
		if (this.timeoutSeconds < 1) {
			throw new CommandException(ExitCode.USAGE, "--timeout: use at least 1 second");
		}
		return new EntryClient(addresses, key(console), Duration.ofSeconds(this.timeoutSeconds));
	}

	private @Nullable String key(Console console) {
		if (this.keyFile == null) {
			return checked(console.environment().get(KEY_VARIABLE), KEY_VARIABLE);
		}
		try {
			return checked(Files.readString(this.keyFile), this.keyFile.toString());
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.NO_INPUT,
					"key file " + this.keyFile + " cannot be read; name a readable file with --key-file");
		}
	}

	private static @Nullable String checked(@Nullable String key, String source) {
		if (key == null) {
			return null;
		}
		String trimmed = key.trim();
		if (!trimmed.matches("[\\x21-\\x7e]+")) {
			throw new CommandException(ExitCode.USAGE,
					"the key in " + source + " is not valid; give one line of ASCII characters without spaces");
		}
		return trimmed;
	}

}
