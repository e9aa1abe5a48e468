package io.bilberryvalve.daemon.configuration;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.wire.proto.ConfigurationMessages.ConfigurationPush;
import io.bilberryvalve.wire.proto.ConfigurationMessages.ConfigurationRequest;
import io.bilberryvalve.wire.proto.ConfigurationMessages.Part;

/**
 * Messages about the configuration.
 */
final class ConfigurationCodec {

	/**
	 * Largest text in a push, in characters. A push goes to each peer from each of its
	 * peers, so larger texts are asked for instead.
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
	 * Returns the texts of a message that are at hand and have the right digest.
	 * @param push the message
	 * @param texts texts that this daemon holds
	 * @return text of each part by its name; parts without text are left out
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
