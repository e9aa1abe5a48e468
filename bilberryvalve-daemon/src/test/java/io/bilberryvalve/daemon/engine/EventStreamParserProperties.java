package io.bilberryvalve.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class EventStreamParserProperties {

	private static final byte[] STREAM = ("id: 0\ndata: {\"text\":\"größer\"}\n\n: keep-alive\n\n"
			+ "event: problem\r\ndata: a\r\ndata:b\r\n\r\nid: 1\n\ndata: [DONE]\n\n")
		.getBytes(StandardCharsets.UTF_8);

	// Guards against events that are lost or damaged when they arrive in pieces.
	@Property(seed = "61")
	void doesNotDependOnHowTheBytesArrive(@ForAll @IntRange(max = 100) int cut,
			@ForAll @IntRange(min = 1, max = 20) int size) {
		List<String> events = new ArrayList<>();
		EventStreamParser parser = new EventStreamParser(collect(events));
		int first = Math.min(cut, STREAM.length);
		parser.feed(Arrays.copyOf(STREAM, first));
		for (int i = first; i < STREAM.length; i += size) {
			parser.feed(Arrays.copyOfRange(STREAM, i, Math.min(STREAM.length, i + size)));
		}
		assertThat(events).containsExactly("message {\"text\":\"größer\"}", "comment", "problem a\nb",
				"message [DONE]");
	}

	// Guards against an engine that exhausts the memory with a line that never ends.
	@Example
	void refusesAnEndlessLine() {
		EventStreamParser parser = new EventStreamParser(collect(new ArrayList<>()));
		assertThatIllegalArgumentException().isThrownBy(() -> parser.feed(new byte[1 << 19]))
			.withMessageContaining("exceeds");
	}

	private static EventStreamParser.Handler collect(List<String> events) {
		return new EventStreamParser.Handler() {

			@Override
			public void onEvent(String name, String data) {
				events.add(name + " " + data);
			}

			@Override
			public void onComment() {
				events.add("comment");
			}

		};
	}

}
