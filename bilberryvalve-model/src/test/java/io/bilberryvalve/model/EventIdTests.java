package io.bilberryvalve.model;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class EventIdTests {

	// Guards against an event id whose text parses to another position, which would
	// resume a reply at the wrong token.
	@Property(seed = "11")
	void parsesItsOwnTextForm(@ForAll @LongRange(min = 0) long incarnation, @ForAll @LongRange(min = 0) long sequence,
			@ForAll @IntRange(min = 1) int epoch, @ForAll @IntRange(min = 0) int index) {
		RequestId request = new RequestId(new VmId("pav-1"), incarnation, sequence);
		EventId id = new EventId(request, epoch, index, new RunnerId("r-1.south"));
		assertThat(EventId.parse(id.toString())).isEqualTo(id);
	}

	// Guards against an exception other than IllegalArgumentException, which would not be
	// reported to the caller as a malformed event id.
	@Property(seed = "12")
	void reportsMalformedTextAsArgumentError(@ForAll String text) {
		try {
			EventId.parse(text);
		}
		catch (IllegalArgumentException ex) {
			assertThat(ex).hasMessageContaining("send the id of the last event received unchanged");
		}
	}

	@Example
	void rejectsEpochZero() {
		assertThatIllegalArgumentException().isThrownBy(() -> EventId.parse("pav-1_1_1/0/3@r1"));
	}

}
