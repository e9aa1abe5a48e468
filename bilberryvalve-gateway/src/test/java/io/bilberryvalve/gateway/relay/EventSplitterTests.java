package io.bilberryvalve.gateway.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTests {

	private static final int EVENTS = 200_000;

	private final EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);

	private List<String> add(String text) {
		ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
		assertThat(this.splitter.add(content)).isTrue();
		content.release();
		List<String> identifiers = new ArrayList<>();
		for (EventSplitter.Event event = this.splitter.next(); event != null; event = this.splitter.next()) {
			identifiers.add(event.id());
			event.bytes().release();
		}
		return identifiers;
	}

	// Guards against a long stream that fills the memory with events that were handed on,
	// because none of its reads ends with an event.
	@Example
	void eventsThatWereHandedOnAreNotKept() {
		add("id: 0\nda");
		for (int i = 1; i <= EVENTS; i++) {
			assertThat(add("ta: piece\n\nid: " + i + "\nda")).hasSize(1);
			assertThat(this.splitter.heldBytes()).isLessThan(4096);
		}
		this.splitter.release();
	}

	// Guards against memory that is kept for the rest of a stream after one large event.
	@Example
	void memoryOfALargeEventIsGivenBack() {
		add("id: 1\ndata: " + "x".repeat(500_000));
		assertThat(this.splitter.heldBytes()).isGreaterThan(500_000);
		assertThat(add("\n\n")).containsExactly("1");
		add("id: 2\n");
		assertThat(this.splitter.heldBytes()).isLessThan(4096);
		this.splitter.release();
	}

	@Property(tries = 200)
	void eventsAreFoundHoweverTheyAreSplit(@ForAll @IntRange(min = 1, max = 40) int size) {
		StringBuilder text = new StringBuilder();
		List<String> expected = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			text.append("id: ").append(i).append((i % 2 == 0) ? "\ndata: a\n\n" : "\r\ndata: b\r\n\r\n");
			expected.add(Integer.toString(i));
		}
		EventSplitterTests fresh = new EventSplitterTests();
		List<String> found = new ArrayList<>();
		for (int i = 0; i < text.length(); i += size) {
			found.addAll(fresh.add(text.substring(i, Math.min(text.length(), i + size))));
		}
		fresh.splitter.release();
		assertThat(found).isEqualTo(expected);
	}

}
