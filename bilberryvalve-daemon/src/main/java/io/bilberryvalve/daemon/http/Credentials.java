package io.bilberryvalve.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import org.jspecify.annotations.Nullable;

/**
 * Maps keys of callers and operators to principals. The map is rebuilt when the
 * configuration changes and read without locks.
 */
public final class Credentials {

	private static final String SCHEME = "Bearer ";

	private final AtomicReference<Map<String, Principal>> byDigest = new AtomicReference<>(Map.of());

	private final Map<String, Principal> fixed;

	/**
	 * Creates credentials that follow the configuration.
	 * @param source the configuration in force
	 * @param fixed principals by key digest that exist independently of the configuration
	 */
	public Credentials(ConfigurationSource source, Map<String, Principal> fixed) {
		this.fixed = Map.copyOf(fixed);
		source.addListener(this::rebuild);
	}

	/**
	 * Returns the sender of a request.
	 * @param authorization value of the {@code Authorization} header, or {@code null}
	 * @return the principal, or {@code null} if the credentials are missing or unknown
	 */
	public @Nullable Principal principal(@Nullable CharSequence authorization) {
		if (authorization == null) {
			return null;
		}
		String value = authorization.toString();
		if (!value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return null;
		}
		return this.byDigest.get().get(digest(value.substring(SCHEME.length()).trim()));
	}

	/**
	 * Returns the digest of a key as it stands in the configuration.
	 * @param key the key
	 * @return the SHA-256 digest, 64 lower-case hexadecimal digits
	 */
	public static String digest(String key) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java runtime has no SHA-256", ex);
		}
	}

	private void rebuild(FederationConfiguration configuration) {
		Map<String, Principal> next = new HashMap<>(this.fixed);
		for (ClubPart club : configuration.clubs().values()) {
			for (ClubPart.Caller caller : club.callers()) {
				next.put(caller.keyDigest(), new Principal.Caller(club.club(), caller.team(), caller.caller()));
			}
			for (ClubPart.Operator operator : club.operators()) {
				next.put(operator.keyDigest(), new Principal.Operator(club.club(), operator.operator()));
			}
		}
		this.byDigest.set(Map.copyOf(next));
	}

}
