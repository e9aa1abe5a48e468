package io.bilberryvalve.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;

/**
 * Reads daemon settings: JSON with Java comments. All errors of a file are reported, each
 * with line, column and remedy; after a syntax error the rest of the file cannot be read.
 *
 * <pre>{@code
 * {
 *   "vm": "pav-1", "region": "south", "dataCentre": "south-a",
 *   "callerAddress": "127.0.0.1:8001", "peerAddress": "127.0.0.1:8101",
 *   "platform": {"tables": "127.0.0.1:9100", "objects": "127.0.0.1:9100", "vmList": "127.0.0.1:9100"},
 *   "federationSecretFile": "federation.secret",
 *   "bootstrapOperatorDigest": "<SHA-256 of the first operator's key>", // optional, as all below
 *   "entryListTtlMillis": 5000,
 *   "http2Address": "127.0.0.1:8201",
 *   "seedPeers": ["127.0.0.1:8102"],
 *   "limits": {"teamQueue": 256, "storeTimeoutMillis": 2000}
 * }
 * }</pre>
 */
public final class SettingsFile {

	private static final long MAX_BODY_BYTES = 64L << 20;

	private static final long MAX_HEADER_BYTES = 1L << 20;

	private static final long MAX_QUEUE = 1_000_000;

	private static final long MAX_MILLIS = Duration.ofHours(1).toMillis();

	/** Larger files are refused before they are read into memory. */
	private static final long MAX_FILE_BYTES = 1L << 20;

	private static final DaemonLimits DEFAULTS = DaemonLimits.defaults();

	private SettingsFile() {
	}

	/**
	 * Reads a file. A relative path of the federation secret is resolved against the
	 * directory of the file.
	 * @param file the file
	 * @return the settings, or the errors; an unreadable file is an error without place
	 */
	public static Parsed<DaemonSettings> read(Path file) {
		String name = file.getFileName().toString();
		try {
			if (Files.size(file) > MAX_FILE_BYTES) {
				return unreadable(name, "the file is larger than " + MAX_FILE_BYTES + " bytes");
			}
			return parse(name, Files.readString(file), file.toAbsolutePath().getParent());
		}
		catch (IOException ex) {
			return unreadable(name, "the file cannot be read as UTF-8 text: " + ex);
		}
	}

	private static Parsed<DaemonSettings> unreadable(String name, String message) {
		return new Parsed.Invalid<>(
				List.of(new Finding(name, "", null, message, "name a readable settings file with --settings")));
	}

	/**
	 * Reads a text.
	 * @param name name of the text in findings
	 * @param text the text
	 * @param directory directory against which relative paths are resolved
	 * @return the settings, or the errors
	 */
	public static Parsed<DaemonSettings> parse(String name, String text, Path directory) {
		return Document.parse(name, text, (fields) -> settings(fields, directory));
	}

	private static Value<DaemonSettings> settings(Fields fields, Path directory) {
		Value<VmId> vm = fields.text("vm", VmId::new);
		Value<RegionId> region = fields.text("region", RegionId::new);
		Value<DataCentreId> dataCentre = fields.text("dataCentre", DataCentreId::new);
		Value<Address> callers = fields.text("callerAddress", Address::parse);
		Value<Optional<Address>> http2 = fields.optionalText("http2Address", Address::parse);
		Value<Address> peers = fields.text("peerAddress", Address::parse);
		Value<DaemonSettings.Platform> platform = fields.object("platform", SettingsFile::platform);
		Value<Path> secret = fields.text("federationSecretFile", (path) -> resolve(directory, path));
		Value<Optional<String>> digest = fields.optionalText("bootstrapOperatorDigest", KeyDigest::check);
		Value<Duration> ttl = millis(fields, "entryListTtlMillis", DaemonSettings.DEFAULT_ENTRY_LIST_TTL);
		Value<List<Address>> seeds = fields.optional("seedPeers", (key) -> fields.texts(key, Address::parse),
				new ArrayList<>());
		Value<DaemonLimits> limits = fields.optional("limits", (key) -> fields.object(key, SettingsFile::limits),
				DEFAULTS);
		return fields.build(() -> new DaemonSettings(vm.get(), region.get(), dataCentre.get(), callers.get(),
				http2.get().orElse(null), peers.get(), platform.get(), secret.get(), digest.get().orElse(null),
				ttl.get(), seeds.get(), limits.get()));
	}

	private static Value<DaemonSettings.Platform> platform(Fields fields) {
		Value<Address> tables = fields.text("tables", Address::parse);
		Value<Address> objects = fields.text("objects", Address::parse);
		Value<Address> vmList = fields.text("vmList", Address::parse);
		return fields.build(() -> new DaemonSettings.Platform(tables.get(), objects.get(), vmList.get()));
	}

	private static Value<DaemonLimits> limits(Fields fields) {
		Value<Integer> body = count(fields, "bodyBytes", MAX_BODY_BYTES, DEFAULTS.bodyBytes());
		Value<Integer> submission = count(fields, "submissionBytes", MAX_BODY_BYTES, DEFAULTS.submissionBytes());
		Value<Integer> header = count(fields, "headerBytes", MAX_HEADER_BYTES, DEFAULTS.headerBytes());
		Value<Integer> team = count(fields, "teamQueue", MAX_QUEUE, DEFAULTS.teamQueue());
		Value<Integer> total = count(fields, "totalQueue", MAX_QUEUE, DEFAULTS.totalQueue());
		Value<Duration> idle = millis(fields, "idleConnectionMillis", DEFAULTS.idleConnection());
		Value<Duration> request = millis(fields, "requestTimeoutMillis", DEFAULTS.requestTimeout());
		Value<Duration> store = millis(fields, "storeTimeoutMillis", DEFAULTS.storeTimeout());
		Value<Duration> order = millis(fields, "orderTimeoutMillis", DEFAULTS.orderTimeout());
		Value<Duration> progress = millis(fields, "progressDeadlineMillis", DEFAULTS.progressDeadline());
		Value<Duration> retention = millis(fields, "replyRetentionMillis", DEFAULTS.replyRetention());
		return fields.build(() -> new DaemonLimits(body.get(), submission.get(), header.get(), team.get(), total.get(),
				idle.get(), request.get(), store.get(), order.get(), progress.get(), retention.get()));
	}

	private static Value<Integer> count(Fields fields, String name, long max, int fallback) {
		return fields.optional(name, (key) -> fields.whole(key, 1, max).map(Math::toIntExact), fallback);
	}

	private static Value<Duration> millis(Fields fields, String name, Duration fallback) {
		return fields.optional(name, (key) -> fields.whole(key, 1, MAX_MILLIS).map(Duration::ofMillis), fallback);
	}

	private static Path resolve(Path directory, String path) {
		if (path.isBlank()) {
			throw new IllegalArgumentException("the path is blank; name a file");
		}
		try {
			return directory.resolve(path);
		}
		catch (InvalidPathException ex) {
			throw new IllegalArgumentException("the path is not valid; name a file", ex);
		}
	}

}
