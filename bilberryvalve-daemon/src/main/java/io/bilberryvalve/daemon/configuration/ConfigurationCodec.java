package io.bilberryvalve.daemon.configuration;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.wire.proto.ConfigurationMessages.ConfigurationPush;
import io.bilberryvalve.wire.proto.ConfigurationMessages.ConfigurationRequest;
import io.bilberryvalve.wire.proto.ConfigurationMessages.Part;

/**
 * Encodes and decodes the messages by which daemons exchange the configuration.
 */
final class ConfigurationCodec {

	/**
	 * Maximum total length of the part texts in a push, in characters. A daemon receives
	 * a push from each of its peers, so it requests larger texts from one of them
	 * instead.
	 */
	private static final int MAX_PUSHED_CHARS = 16 << 10;

	private ConfigurationCodec() {
	}

	static byte[] encodePush(ConfigurationSnapshot snapshot, ConfigurationSnapshot previous) {
		return buildPush(snapshot, Set.copyOf(previous.digests().values()), MAX_PUSHED_CHARS).toByteArray();
	}

	static byte[] encodeRequest(ConfigurationSnapshot snapshot) {
		return ConfigurationRequest.newBuilder()
			.setVersion(snapshot.version())
			.addAllHeld(snapshot.digests().values())
			.build()
			.toByteArray();
	}

	static byte[] answerRequest(byte[] body, ConfigurationSnapshot snapshot) {
		try {
			ConfigurationRequest request = ConfigurationRequest.parseFrom(body);
			if (request.getVersion() >= snapshot.version()) {
				return ConfigurationPush.newBuilder()
					.setVersion(snapshot.version())
					.setDigest(snapshot.digest())
					.build()
					.toByteArray();
			}
			return buildPush(snapshot, Set.copyOf(request.getHeldList()), Integer.MAX_VALUE).toByteArray();
		}
		catch (InvalidProtocolBufferException ex) {
			return ConfigurationPush.getDefaultInstance().toByteArray();
		}
	}

	private static ConfigurationPush buildPush(ConfigurationSnapshot snapshot, Set<String> heldDigests, int maxChars) {
		ConfigurationPush.Builder push = ConfigurationPush.newBuilder()
			.setVersion(snapshot.version())
			.setDigest(snapshot.digest());
		int remaining = maxChars;
		for (Map.Entry<String, String> entry : snapshot.digests().entrySet()) {
			Part.Builder part = push.addPartsBuilder().setName(entry.getKey()).setDigest(entry.getValue());
			String text = snapshot.texts().getOrDefault(entry.getKey(), "");
			if (!heldDigests.contains(entry.getValue()) && text.length() <= remaining) {
				part.setText(text);
				remaining -= text.length();
			}
		}
		return push.build();
	}

	static Map<String, String> digests(ConfigurationPush push) {
		Map<String, String> digests = new TreeMap<>();
		push.getPartsList().forEach((part) -> digests.put(part.getName(), part.getDigest()));
		return digests;
	}

	/**
	 * Collects the texts of the parts that a message lists, from the message itself or
	 * from the cache. A text whose digest differs from the digest in the message is
	 * ignored.
	 * @param push the message
	 * @param texts cached texts of this daemon
	 * @return texts by the name of their part; a part whose text is not available is
	 * missing
	 */
	static Map<String, String> verifiedTexts(ConfigurationPush push, PartTextStore texts) {
		Map<String, String> verified = new TreeMap<>();
		for (Part part : push.getPartsList()) {
			String text = part.hasText() ? part.getText() : texts.getCached(part.getDigest());
			if (text != null && PartTextStore.digest(text).equals(part.getDigest())) {
				verified.put(part.getName(), text);
			}
		}
		return verified;
	}

}
