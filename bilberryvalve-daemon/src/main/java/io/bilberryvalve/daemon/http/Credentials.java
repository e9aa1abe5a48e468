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
 * Authenticates requests by the keys of callers and operators. Only digests of the keys
 * are stored.
 *
 * <p>
 * Safe for use by several threads: the map of principals is rebuilt when the
 * configuration changes, and read without locks.
 */
public final class Credentials {

	private static final String SCHEME = "Bearer ";

	private final AtomicReference<Map<String, Principal>> principalsByDigest = new AtomicReference<>(Map.of());

	private final Map<String, Principal> fixedPrincipals;

	/**
	 * Creates credentials that follow the configuration.
	 * @param source provides the configuration in force
	 * @param fixedPrincipals principals by key digest that do not depend on the
	 * configuration, such as the operator that submits the first one; the configuration
	 * takes precedence if it has the same digest
	 */
	public Credentials(ConfigurationSource source, Map<String, Principal> fixedPrincipals) {
		this.fixedPrincipals = Map.copyOf(fixedPrincipals);
		source.addListener(this::rebuild);
	}

	/**
	 * Determines the sender of a request from its key.
	 * @param authorization value of the {@code Authorization} header, or {@code null} if
	 * the request has none
	 * @return the principal, or {@code null} if the key is missing or unknown, or the
	 * scheme is not {@code Bearer}
	 */
	public @Nullable Principal authenticate(@Nullable CharSequence authorization) {
		if (authorization == null) {
			return null;
		}
		String value = authorization.toString();
		if (!value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return null;
		}
		return this.principalsByDigest.get().get(digest(value.substring(SCHEME.length()).trim()));
	}

	/**
	 * Computes the digest of a key, in the form in which the configuration stores it.
	 * @param key the key, in plain text
	 * @return the SHA-256 digest, 64 lower-case hexadecimal digits
	 */
	public static String digest(String key) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java runtime does not support SHA-256", ex);
		}
	}

	private void rebuild(FederationConfiguration configuration) {
		Map<String, Principal> next = new HashMap<>(this.fixedPrincipals);
		for (ClubPart club : configuration.clubs().values()) {
			for (ClubPart.Caller caller : club.callers()) {
				next.put(caller.keyDigest(), new Principal.Caller(club.club(), caller.team(), caller.caller()));
			}
			for (ClubPart.Operator operator : club.operators()) {
				next.put(operator.keyDigest(), new Principal.Operator(club.club(), operator.operator()));
			}
		}
		this.principalsByDigest.set(Map.copyOf(next));
	}

}
