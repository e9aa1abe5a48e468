package io.bilberryvalve.standins.demo;

import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Option;

/**
 * Options of commands that request replies.
 */
abstract class QuestionOptions implements DemoCommand {

	@Option(name = "--entry", required = true, metaVar = "HOST:PORT", usage = "an entry; may be repeated")
	private List<String> entries = new ArrayList<>();

	@Option(name = "--key", required = true, usage = "key of the caller")
	private String key = "";

	@Option(name = "--pipeline", required = true, usage = "the pipeline")
	private String pipeline = "";

	@Option(name = "--model", required = true, usage = "model of the pipeline, which gives the expected reply")
	private String model = "";

	@Option(name = "--prompt", usage = "the prompt")
	private String prompt = "Two boxes of refills for the candle stand in the window";

	@Option(name = "--tokens", usage = "length of each reply in tokens")
	private int tokens = 48;

	List<String> entries() {
		return this.entries;
	}

	Caller caller() {
		return new Caller(this.key);
	}

	/**
	 * Creates the question.
	 * @param suffix appended to the prompt, so that replies differ
	 * @return the question
	 */
	Question question(String suffix) {
		return new Question(this.pipeline, this.model, this.prompt + suffix, this.tokens);
	}

}
