package io.bilberryvalve.gateway.peer;

import java.util.List;
import java.util.OptionalLong;

import io.bilberryvalve.policy.quarantine.PartReport;
import io.bilberryvalve.wire.proto.LoadMessages.PromptCrash;
import io.bilberryvalve.wire.proto.LoadMessages.PromptPart;

/**
 * Converts reports on prompt parts to messages and back.
 */
final class PartReportCodec {

	private PartReportCodec() {
	}

	static PromptPart encode(PartReport report) {
		PromptPart.Builder builder = PromptPart.newBuilder().setPart(report.part());
		report.crashes()
			.forEach((crash) -> builder.addCrashes(PromptCrash.newBuilder()
				.setRunner(crash.runner())
				.setPrompt(crash.prompt())
				.setAge(crash.ageMillis())));
		report.answeredAgeMillis().ifPresent(builder::setAnsweredAge);
		return builder.build();
	}

	static PartReport decode(PromptPart message) {
		List<PartReport.Crash> crashes = message.getCrashesList()
			.stream()
			.map((crash) -> new PartReport.Crash(crash.getRunner(), crash.getPrompt(), Math.max(0, crash.getAge())))
			.toList();
		return new PartReport(message.getPart(), crashes, message.hasAnsweredAge()
				? OptionalLong.of(Math.max(0, message.getAnsweredAge())) : OptionalLong.empty());
	}

}
