package io.bilberryvalve.model.log;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class LogEventTests {

	// Guards against log injection: a value from outside with a line break must not start
	// a second log line.
	@Property(seed = "21")
	void staysOnOneLine(@ForAll String value) {
		String line = LogEvent.of("test").with("value", value).toString();
		assertThat(line).doesNotContain("\n", "\r");
	}

	// Guards against a process that ends for lack of memory while it logs the values of
	// unreadable rows.
	@Example
	void longValuesAreCutOff() {
		String line = LogEvent.of("test").with("value", "x".repeat(1_000_000)).with("next", 1).toString();
		assertThat(line).hasSizeLessThan(1100).startsWith("event=test value=xxx").endsWith("xxx... next=1");
	}

	@Example
	void quotesValuesWithSpacesAndEscapesQuotes() {
		String line = LogEvent.of("test").with("text", "a \"b\"").with("count", 2).with("none", null).toString();
		assertThat(line).isEqualTo("event=test text=\"a \\\"b\\\"\" count=2");
	}

}
