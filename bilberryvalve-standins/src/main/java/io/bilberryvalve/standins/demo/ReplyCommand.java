package io.bilberryvalve.standins.demo;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests a reply, prints the tokens as they arrive and checks that it is whole. The
 * first line is {@code request ID}.
 */
public final class ReplyCommand extends QuestionOptions {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long lastNanos;

	private long longestGapNanos;

	@Override
	public boolean run() throws InterruptedException {
		Question question = question("");
		List<Caller.Token> tokens = new ArrayList<>();
		this.lastNanos = System.nanoTime();
		Caller.Ending ending = caller().ask(entries().get(0), question, (token) -> {
			print(token, tokens.isEmpty());
			tokens.add(token);
		});
		System.out.println();
		List<String> faults = new ArrayList<>(question.check(tokens));
		if (ending.kind() != Caller.Ending.Kind.COMPLETE) {
			faults.add(0, ending.kind() + " " + ending.detail());
		}
		if (!faults.isEmpty()) {
			System.out.println("reply is not whole: " + faults.get(0));
			return false;
		}
		System.out.println("reply is whole: " + tokens.size() + " tokens, each once and in order; longest wait "
				+ this.longestGapNanos / NANOS_PER_MILLI + " ms");
		return true;
	}

	private void print(Caller.Token token, boolean first) {
		long now = System.nanoTime();
		if (first) {
			System.out.println("request " + token.id().substring(0, Math.max(0, token.id().indexOf('/'))));
		}
		else {
			this.longestGapNanos = Math.max(this.longestGapNanos, now - this.lastNanos);
		}
		this.lastNanos = now;
		System.out.print(token.text());
		System.out.flush();
	}

}
