package io.bilberryvalve.daemon.configuration;

import java.util.List;
import java.util.Map;
import java.util.Random;

import io.bilberryvalve.model.Result;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class OddDocumentTests {

	private static final String PART = "{\"federation\":{\"dataCentres\":[],\"shares\":[],\"models\":[],"
			+ "\"accelerators\":[],\"links\":[],\"runners\":[{\"runner\":\"r1\",\"address\":\"127.0.0.1:9001\"}],"
			+ "\"applicationRunners\":[]}}";

	private static final List<String> ODD_VALUES = List.of("9".repeat(2000), "1e999999999", "-1e-999999999",
			"[".repeat(5000) + "]".repeat(5000), "{\"a\":".repeat(5000) + "1" + "}".repeat(5000), "null", "\"\\u0000\"",
			"\"127.0.0.1:80010\"", "\"\"", "1.7976931348623157e400", "[[]]", "[7]", "[null]");

	// Guards against a document that ends the thread that reads it.
	@Property(tries = 200, seed = "81")
	void refusesOddDocuments(@ForAll long seed) {
		Random random = new Random(seed);
		String odd = ODD_VALUES.get(random.nextInt(ODD_VALUES.size()));
		String[] fields = PART.split("(?<=:)");
		fields[1 + random.nextInt(fields.length - 1)] = odd + ((random.nextBoolean()) ? "," : "}");
		for (String text : List.of(odd, String.join("", fields), "{\"federation\":" + odd + "}")) {
			Result<?> parsed = new DocumentParser().parse(1, Map.of("federation", text, "pavio", text));
			assertThat(parsed).isInstanceOf(Result.Failed.class);
		}
	}

	// Guards against an odd head row that ends the reader of the configuration with an
	// error that it does not expect.
	@Example
	void refusesOddHeadRows() {
		for (String odd : ODD_VALUES) {
			for (String text : List.of(odd, "{\"version\":" + odd + "}", "{\"parts\":" + odd + "}",
					"{\"recent\":[" + odd + "]}", "{\"parts\":{\"a\":" + odd + "}}")) {
				try {
					assertThat(HeadRow.decode(text).version()).isNotNegative();
				}
				catch (IllegalArgumentException ex) {
					assertThatIllegalArgumentException().isThrownBy(() -> HeadRow.decode(text));
				}
			}
		}
	}

}
