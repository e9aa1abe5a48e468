package io.bilberryvalve.config;

import org.jspecify.annotations.Nullable;

/**
 * A part of the configuration with its canonical text. Two documents with the same
 * content have the same canonical text and digest, whatever the order, layout and
 * comments of the texts they were read from.
 */
public final class ConfigurationDocument {

	private final ConfigurationPart part;

	private final JsonTree.@Nullable Members tree;

	private final String canonicalText;

	private final String digest;

	private ConfigurationDocument(ConfigurationPart part, JsonTree.@Nullable Members tree) {
		this.part = part;
		this.tree = tree;
		this.canonicalText = CanonicalText.print(PartWriter.part(part));
		this.digest = KeyDigest.of(this.canonicalText);
	}

	/**
	 * Creates the document of a part.
	 * @param part the part
	 * @return the document; it knows no places
	 * @throws IllegalArgumentException if the latency of a link is not a whole number of
	 * microseconds
	 */
	public static ConfigurationDocument of(ConfigurationPart part) {
		return new ConfigurationDocument(part, null);
	}

	/**
	 * Reads a document: JSON with Java comments. References are not checked;
	 * {@link ConfigurationCheck} does that.
	 * @param source name of the text in findings, for example a file name
	 * @param text the text
	 * @return the document, or all its errors; after a syntax error the rest of the text
	 * cannot be read
	 */
	public static Parsed<ConfigurationDocument> parse(String source, String text) {
		return Document.parse(source, text,
				(fields) -> PartReader.part(fields).map((part) -> new ConfigurationDocument(part, fields.object())));
	}

	/**
	 * Returns the digest of a whole configuration. It covers the name and digest of each
	 * part, but not the version.
	 * @param configuration the configuration
	 * @return the digest: SHA-256, 64 lower-case hexadecimal digits
	 */
	public static String digest(FederationConfiguration configuration) {
		StringBuilder text = new StringBuilder("federation " + of(configuration.federation()).digest() + "\n");
		for (ClubPart club : configuration.clubs().values()) {
			text.append(club.name()).append(' ').append(of(club).digest()).append('\n');
		}
		return KeyDigest.of(text.toString());
	}

	/**
	 * Returns the part.
	 * @return the part
	 */
	public ConfigurationPart part() {
		return this.part;
	}

	/**
	 * Returns the canonical text.
	 * @return the text: JSON without comments, in ASCII, ending with a line feed
	 */
	public String canonicalText() {
		return this.canonicalText;
	}

	/**
	 * Returns the digest of the canonical text.
	 * @return the digest: SHA-256, 64 lower-case hexadecimal digits
	 */
	public String digest() {
		return this.digest;
	}

	/**
	 * Finds the place of a value in the text that was read.
	 * @param path path of the value, for example {@code runners[3].end}
	 * @return the place, or {@code null} if the document was not read from a text or has
	 * no such value
	 */
	public @Nullable Position locate(String path) {
		return (this.tree != null) ? this.tree.locate(path) : null;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ConfigurationDocument that && this.canonicalText.equals(that.canonicalText);
	}

	@Override
	public int hashCode() {
		return this.canonicalText.hashCode();
	}

	@Override
	public String toString() {
		return "document of part " + this.part.name() + ", digest " + this.digest;
	}

}
