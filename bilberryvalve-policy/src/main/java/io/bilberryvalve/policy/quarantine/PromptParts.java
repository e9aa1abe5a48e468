package io.bilberryvalve.policy.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Parts of the prompt of a request. All but the last one may also occur in other prompts.
 *
 * @param shared identifiers of the parts before the last one, without repetitions
 * @param own identifier of the last part, which belongs to the request or its session;
 * empty if the request names no parts
 */
public record PromptParts(Set<String> shared, String own) {

	/** Prompt of a request that names no parts. */
	public static final PromptParts NONE = new PromptParts(Set.of(), "");

	/**
	 * Largest number of shared parts that are considered, which bounds the memory that
	 * one request can claim.
	 */
	private static final int MAX_SHARED = 64;

	/** Length of an identifier above which its hash is used instead. */
	private static final int MAX_LENGTH = 64;

	/**
	 * Copies the parts.
	 */
	public PromptParts {
		shared = Set.copyOf(shared);
	}

	/**
	 * Parses a list of parts.
	 * @param list entries separated by commas, each with an identifier, a colon and a
	 * number of tokens
	 * @return the parts; {@link #NONE} for an empty list
	 */
	public static PromptParts parse(String list) {
		List<String> identifiers = new ArrayList<>();
		for (String entry : list.split(",")) {
			int colon = entry.indexOf(':');
			String identifier = ((colon >= 0) ? entry.substring(0, colon) : entry).trim();
			if (!identifier.isEmpty()) {
				identifiers.add(shorten(identifier));
			}
		}
		if (identifiers.isEmpty()) {
			return NONE;
		}
		int last = identifiers.size() - 1;
		return new PromptParts(new LinkedHashSet<>(identifiers.subList(0, Math.min(last, MAX_SHARED))),
				identifiers.get(last));
	}

	private static String shorten(String identifier) {
		return (identifier.length() <= MAX_LENGTH) ? identifier
				: "#" + Long.toHexString(Hashing.komihash5_0().hashCharsToLong(identifier));
	}

}
