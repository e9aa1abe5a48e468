package io.bilberryvalve.policy.quarantine;

import java.util.List;
import java.util.OptionalLong;

/**
 * What one daemon has seen of a prompt part. Ages count back from the time of the report,
 * since the clocks of daemons differ.
 *
 * @param part identifier of the part
 * @param crashes prompts with the part whose runner crashed before it wrote an answer
 * @param answeredAgeMillis time in milliseconds since a runner last wrote an answer to a
 * prompt with the part; empty if none did after it came under suspicion
 */
public record PartReport(String part, List<Crash> crashes, OptionalLong answeredAgeMillis) {

	/**
	 * Copies the crashes.
	 */
	public PartReport {
		crashes = List.copyOf(crashes);
	}

	/**
	 * A prompt whose runner crashed.
	 *
	 * @param runner hash of the runner and the time of its start
	 * @param prompt hash of the identifier of the prompt's last part
	 * @param ageMillis time since the crash in milliseconds
	 */
	public record Crash(long runner, long prompt, long ageMillis) {

	}

}
