package io.bilberryvalve.daemon.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.bilberryvalve.policy.once.ExecutionAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Records which calls were sent and executed and which answers callers received, and
 * checks that these agree. The check is independent of the code under test.
 */
final class CallHistory {

	private final Map<Long, Sent> sent = new HashMap<>();

	private final List<Long> executed = new ArrayList<>();

	private final Map<Long, List<ExecutionAnswer>> answers = new HashMap<>();

	void recordSent(long call, String key, String body) {
		this.sent.put(call, new Sent(key, body));
	}

	void recordExecution(long call) {
		this.executed.add(call);
	}

	void recordAnswer(long call, ExecutionAnswer answer) {
		this.answers.computeIfAbsent(call, (number) -> new ArrayList<>()).add(answer);
	}

	boolean isAnswered(long call) {
		return this.answers.containsKey(call);
	}

	Set<Long> calls() {
		return this.sent.keySet();
	}

	/**
	 * Returns the keys all of whose calls were answered with "not run", with the body of
	 * the first call of each key.
	 */
	Map<String, String> keysNotRun() {
		Map<String, String> bodies = new TreeMap<>();
		Set<String> others = new HashSet<>();
		for (Map.Entry<Long, Sent> entry : new TreeMap<>(this.sent).entrySet()) {
			boolean notRun = this.answers.getOrDefault(entry.getKey(), List.of())
				.stream()
				.anyMatch(ExecutionAnswer.NotRun.class::isInstance);
			bodies.putIfAbsent(entry.getValue().key(), entry.getValue().body());
			if (!notRun) {
				others.add(entry.getValue().key());
			}
		}
		bodies.keySet().removeAll(others);
		return bodies;
	}

	static String result(long call) {
		return "result-" + call;
	}

	@Nullable String violation() {
		Set<String> keys = new HashSet<>();
		for (long call : this.executed) {
			if (!keys.add(this.sent.get(call).key())) {
				return "key " + this.sent.get(call).key() + " was executed twice";
			}
		}
		for (Map.Entry<Long, List<ExecutionAnswer>> entry : this.answers.entrySet()) {
			if (entry.getValue().size() > 1) {
				return "call " + entry.getKey() + " was answered twice";
			}
			String violation = violation(entry.getKey(), entry.getValue().get(0));
			if (violation != null) {
				return violation;
			}
		}
		return null;
	}

	private @Nullable String violation(long call, ExecutionAnswer answer) {
		boolean notRun = answer instanceof ExecutionAnswer.NotRun || answer instanceof ExecutionAnswer.KeyReused;
		if (notRun && this.executed.contains(call)) {
			return "call " + call + " was executed and its caller was told " + answer;
		}
		if (answer instanceof ExecutionAnswer.Completed completed) {
			boolean ownResult = this.executed.stream()
				.anyMatch((run) -> this.sent.get(run).equals(this.sent.get(call))
						&& result(run).equals(completed.result()));
			return ownResult ? null : "call " + call + " received the result of another request";
		}
		return null;
	}

	private record Sent(String key, String body) {

	}

}
