package io.bilberryvalve.gateway.relay;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseMemoryTests {

	private static final long LARGE = 1 << 20;

	private static final long SMALL = 1 << 14;

	private final ResponseMemory memory = new ResponseMemory();

	// Guards against many runners whose responses do not end and that fill the heap
	// together, although each stays below its own limit.
	@Example
	void largeResponsesAreLimitedTogether() {
		int permitted = 0;
		while (this.memory.resize(0, LARGE)) {
			permitted++;
		}
		assertThat(permitted).isBetween(16, 32);
	}

	// Guards against requests that fail because of the responses of faulty runners.
	@Example
	void smallResponsesAreAlwaysPermitted() {
		while (this.memory.resize(0, LARGE)) {
			assertThat(this.memory.resize(0, SMALL)).isTrue();
		}
		assertThat(this.memory.resize(0, SMALL)).isTrue();
		assertThat(this.memory.resize(SMALL, 0)).isTrue();
	}

	@Example
	void memoryIsGivenBack() {
		assertThat(this.memory.resize(0, LARGE)).isTrue();
		assertThat(this.memory.resize(LARGE, 2 * LARGE)).isTrue();
		assertThat(this.memory.resize(2 * LARGE, 0)).isTrue();
		assertThat(this.memory.countedBytes()).isZero();
	}

}
