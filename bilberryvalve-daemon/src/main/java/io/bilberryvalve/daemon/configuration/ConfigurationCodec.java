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

	static byte[] encodePush(ConfigurationSnapshot now, ConfigurationSnapshot before) {
		return buildPush(now, Set.copyOf(before.digests().values()), MAX_PUSHED_CHARS).toByteArray();
	}

	static byte[] encodeRequest(ConfigurationSnapshot now) {
		return ConfigurationRequest.newBuilder()
			.setVersion(now.version())
			.addAllHeld(now.digests().values())
			.build()
			.toByteArray();
	}

	static byte[] answerRequest(byte[] body, ConfigurationSnapshot now) {
		try {
			ConfigurationRequest request = ConfigurationRequest.parseFrom(body);
			if (request.getVersion() >= now.version()) {
				return ConfigurationPush.newBuilder()
					.setVersion(now.version())
					.setDigest(now.digest())
					.build()
					.toByteArray();
			}
			return buildPush(now, Set.copyOf(request.getHeldList()), Integer.MAX_VALUE).toByteArray();
		}
		catch (InvalidProtocolBufferException ex) {
			return ConfigurationPush.getDefaultInstance().toByteArray();
		}
	}

	private static ConfigurationPush buildPush(ConfigurationSnapshot now, Set<String> held, int room) {
		ConfigurationPush.Builder push = ConfigurationPush.newBuilder()
			.setVersion(now.version())
			.setDigest(now.digest());
		int left = room;
		for (Map.Entry<String, String> entry : now.digests().entrySet()) {
			Part.Builder part = push.addPartsBuilder().setName(entry.getKey()).setDigest(entry.getValue());
			String text = now.texts().getOrDefault(entry.getKey(), "");
			if (!held.contains(entry.getValue()) && text.length() <= left) {
				part.setText(text);
				left -= text.length();
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
		Map<String, String> found = new TreeMap<>();
		for (Part part : push.getPartsList()) {
			String text = part.hasText() ? part.getText() : texts.getCached(part.getDigest());
			if (text != null && PartTextStore.digest(text).equals(part.getDigest())) {
				found.put(part.getName(), text);
			}
		}
		return found;
	}

}
