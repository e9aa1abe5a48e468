package io.bilberryvalve.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Calls a pipeline or an application as a caller would.
 */
public final class CallCommand extends EntryOptions {

	@Argument(metaVar = "TARGET", required = true, usage = "a pipeline, or <application>/<operation>")
	@Nullable String target;

	@Argument(index = 1, metaVar = "TEXT", usage = "the prompt, or the JSON body of an application call")
	String text = "";

	@Option(name = "--max-tokens", metaVar = "N", usage = "longest reply of a pipeline in tokens (default: 64)")
	int maxTokens = 64;

	@Option(name = "--idempotency-key", metaVar = "KEY",
			usage = "key of an earlier application call that is repeated (default: a new key, printed first)")
	@Nullable String idempotencyKey;

	@Option(name = "--deadline", metaVar = "MILLIS", usage = "deadline sent with the request (default: none)")
	int deadlineMillis;

	@Override
	public String summary() {
		return "call TARGET [TEXT]: calls a pipeline or an application with a caller's key";
	}

	@Override
	public ExitCode run(Console console) {
		if (this.target == null || !this.target.matches("[a-z0-9.-]+(/[a-z0-9.-]+)?")) {
			throw new CommandException(ExitCode.USAGE,
					"target '" + this.target + "' is not valid; name a pipeline or <application>/<operation>");
		}
		Map<String, String> headers = new LinkedHashMap<>();
		if (this.deadlineMillis > 0) {
			headers.put("x-request-timeout", Integer.toString(this.deadlineMillis));
		}
		EntryClient client = client(console);
		if (this.target.indexOf('/') < 0) {
			return new CompletionCall(client, console, this.json).run(this.target, this.text, this.maxTokens, headers);
		}
		return application(client, console, headers);
	}

	private ExitCode application(EntryClient client, Console console, Map<String, String> headers) {
		String key = (this.idempotencyKey != null) ? this.idempotencyKey : UUID.randomUUID().toString();
		console.err().println("idempotency key: " + key);
		headers.put("idempotency-key", key);
		Answer answer = client.send("POST", "/v1/applications/" + this.target, this.text.isEmpty() ? "{}" : this.text,
				headers);
		if (answer instanceof Answer.Lost lost) {
			throw new CommandException(ExitCode.UNKNOWN, "the answer of " + lost.entry() + " was lost (" + lost.reason()
					+ "); repeat the command with --idempotency-key " + key);
		}
		Answer.Received received = EntryClient.received(answer);
		if (!received.succeeded()) {
			throw received.failure();
		}
		console.out().println(received.body());
		return ExitCode.OK;
	}

}
