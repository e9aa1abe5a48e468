package io.bilberryvalve.operators;

import java.time.Duration;
import java.util.function.Consumer;

import io.bilberryvalve.config.ConfigurationDocument;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.operators.examples.FederationExample;
import io.bilberryvalve.operators.examples.KlokhuisExample;
import io.bilberryvalve.operators.examples.PavioExample;
import net.jqwik.api.Example;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class FederationTests {

	// Guards against examples that the daemons would refuse.
	@Example
	void examplesPassTheCheck() {
		assertThat(FederationExample.federation().check().text()).isEmpty();
	}

	// Guards against a print that changes without a change of the declaration; whoever
	// changes an example or the canonical form on purpose records the new digests here.
	@Example
	void examplesPrintStableDocuments() {
		Federation federation = FederationExample.federation();
		assertThat(federation.print("pavio")).isEqualTo(PavioExample.document());
		assertThat(federation.print("klokhuis")).isEqualTo(KlokhuisExample.document());
		assertThat(KeyDigest.of(federation.print("federation")))
			.isEqualTo("f7b0d9c9d93335c8f037e1b38072cc1dfd8354b8c48881d275f785c82da913c4");
		assertThat(KeyDigest.of(PavioExample.document()))
			.isEqualTo("fe64250697e0d0f5d2a916af52b6f04977f7961884d0c59d1a0c54ef665704be");
		assertThat(KeyDigest.of(KlokhuisExample.document()))
			.isEqualTo("ea8178a57e47e8de14ea400ef5ad208b42375b4c47e1ef68b08d4d2c8bbe4b7a");
	}

	// Guards against a facade that prints what the parser does not read back.
	@Example
	void printsWhatTheParserReads() {
		Federation federation = FederationExample.federation();
		for (String part : new String[] { "federation", "pavio", "klokhuis" }) {
			String text = federation.print(part);
			assertThat(ConfigurationDocument.parse(part, text).orThrow().canonicalText()).isEqualTo(text);
		}
	}

	// Guards against an example that loses the mixture that the design page asks for.
	@Example
	void exampleMixesRunnersAndLinks() {
		FederationPart part = FederationExample.federation().configuration().federation();
		assertThat(part.runners()).hasSize(12);
		assertThat(part.dataCentres()).hasSize(3);
		assertThat(part.models()).hasSize(2);
		assertThat(part.accelerators()).hasSize(4);
		long fastest = part.links().stream().mapToLong(Link::bytesPerSecond).max().orElseThrow();
		long slowest = part.links().stream().mapToLong(Link::bytesPerSecond).min().orElseThrow();
		assertThat(fastest).isEqualTo(100 * slowest);
	}

	// Guards against errors that surface only when the document is submitted.
	@Example
	void refusesArgumentsWhereTheyEnter() {
		Federation federation = FederationExample.federation();
		refused(() -> federation.share("third", 1), "exceeds the 0.0 percent that are left; lower the shares");
		refused(() -> federation.dataCentre("south-a", "south"), "declared twice");
		refused(() -> federation.link("south-a", "east-a", Duration.ZERO, 1), "east-a is not declared");
		refused(() -> federation.link("south-b", "south-a", Duration.ZERO, 1), "declared twice");
		refused(() -> federation.accelerator("slow", 0, 1), "use a finite value above 0");
		refused(() -> federation.model("m", "1", (model) -> model.layers(4)), "call layers, activationBytes");
		refused(() -> federation.runner("r", (runner) -> runner.address("127.0.0.1:1")), "incomplete; call address");
		refused(() -> federation.applicationRunner("a", "orders", "south-a", "127.0.0.1"), "write host:port");
		refused(() -> federation.club("pavio", (club) -> club.team("t", 1)), "club pavio is declared twice");
		refused(() -> federation.print("third"), "club third is not declared");
	}

	// Guards against a club part whose inner references are broken.
	@Example
	void refusesReferencesThatAreNotDeclared() {
		String digest = KeyDigest.of("key");
		club((club) -> club.caller("till", "shops", digest), "team shops is not declared");
		club((club) -> club.team("shops", 1).caller("till", "shops", "key"), "64 lower-case hexadecimal digits");
		club((club) -> club.pipeline("p", (pipeline) -> pipeline.callers("till")), "caller till is not declared");
		club((club) -> club.pipeline("p", (pipeline) -> pipeline.maxTokens(1)), "call model and maxTokens");
		club((club) -> club.application("a", (application) -> application.callers()), "has no operation");
	}

	private static void club(Consumer<ClubDeclaration> declare, String message) {
		refused(() -> Federation.declare().club("pavio", declare), message);
	}

	private static void refused(ThrowingCallable call, String message) {
		assertThatIllegalArgumentException().isThrownBy(call).withMessageContaining(message);
	}

}
