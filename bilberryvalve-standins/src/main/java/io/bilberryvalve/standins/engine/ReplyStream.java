package io.bilberryvalve.standins.engine;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.http.Json;
import io.bilberryvalve.standins.http.StandinException;
import io.servicetalk.concurrent.PublisherSource.Processor;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;
import org.jspecify.annotations.Nullable;

/**
 * The events of an epoch of a stream. They are kept, so that a client can resume, and
 * passed on to all clients that read the stream.
 */
final class ReplyStream {

	private static final Logger LOGGER = System.getLogger(ReplyStream.class.getName());

	private static final String KEEP_ALIVE = ": keep-alive\n\n";

	private static final String DONE = "data: [DONE]\n\n";

	private static final int KEEP_ALIVES_WITHIN_BUFFER = 64;

	private final StreamRequest request;

	private final Faults faults;

	private final List<String> tokens = new ArrayList<>();

	private final List<Processor<String, String>> readers = new ArrayList<>();

	private @Nullable String end;

	ReplyStream(StreamRequest request, Faults faults) {
		this.request = request;
		this.faults = faults;
	}

	/**
	 * Reads the stream.
	 * @param from index of the first token
	 * @return the events from there on
	 * @throws StandinException if the stream begins after this token
	 */
	synchronized Publisher<String> read(int from) {
		int skipped = from - this.request.from();
		if (skipped < 0 || from > this.request.maxTokens()) {
			throw StandinException.refused(ProblemKind.REPLY_LOST, "epoch " + this.request.epoch() + " has the tokens "
					+ this.request.from() + " to " + this.request.maxTokens() + ", not " + from, "start a new epoch");
		}
		Processor<String, String> reader = Processors
			.newPublisherProcessor(this.request.maxTokens() + KEEP_ALIVES_WITHIN_BUFFER);
		for (int i = skipped; i < this.tokens.size(); i++) {
			reader.onNext(this.tokens.get(i));
		}
		if (this.end != null) {
			reader.onNext(this.end);
			reader.onComplete();
		}
		else {
			this.readers.add(reader);
		}
		return SourceAdapters.fromSource(reader).beforeCancel(() -> remove(reader));
	}

	/**
	 * Adds a token.
	 * @param index its index
	 * @param answer token and trace
	 * @param last whether it ends the reply
	 */
	synchronized void token(int index, Step.Answer answer, boolean last) {
		if (this.end != null) {
			return;
		}
		Event event = new Event(this.request.stream(), this.request.epoch(), index, answer.text(), answer.layers(),
				last);
		String text = "id: " + index + "\ndata: " + Json.write(event) + "\n\n";
		this.tokens.add(text);
		if (this.faults.countToken()) {
			// A stalled stream gets neither tokens nor an end; its clients must notice.
			this.readers.clear();
		}
		send(text);
		if (last) {
			end(DONE);
		}
	}

	/**
	 * Ends the stream with a problem, unless it has ended.
	 * @param problem the problem document as JSON on one line
	 */
	synchronized void fail(String problem) {
		if (this.end == null) {
			end("event: problem\ndata: " + problem + "\n\n");
		}
	}

	/**
	 * Ends a stream without further tokens.
	 */
	synchronized void finish() {
		if (this.end == null) {
			end(DONE);
		}
	}

	/**
	 * Sends a keep-alive comment to all clients.
	 */
	synchronized void keepAlive() {
		if (!this.faults.stalled()) {
			send(KEEP_ALIVE);
		}
	}

	synchronized boolean ended() {
		return this.end != null;
	}

	StreamRequest request() {
		return this.request;
	}

	private void end(String event) {
		LogEvent.of("reply-ended")
			.with("stream", this.request.stream())
			.with("epoch", this.request.epoch())
			.with("tokens", this.tokens.size())
			.with("readers", this.readers.size())
			.log(LOGGER, Level.INFO);
		this.end = event;
		send(event);
		this.readers.forEach(Processor::onComplete);
		this.readers.clear();
	}

	private void send(String text) {
		for (Processor<String, String> reader : List.copyOf(this.readers)) {
			try {
				reader.onNext(text);
			}
			catch (RuntimeException ex) {
				// The client does not read. Its connection goes silent, and it can resume
				// on
				// another one.
				this.readers.remove(reader);
				LogEvent.of("reader-dropped")
					.with("stream", this.request.stream())
					.with("epoch", this.request.epoch())
					.with("cause", ex)
					.log(LOGGER, Level.WARNING);
			}
		}
	}

	private synchronized void remove(Processor<String, String> reader) {
		this.readers.remove(reader);
	}

	/**
	 * A token event.
	 *
	 * @param stream the stream
	 * @param epoch the epoch
	 * @param index index of the token
	 * @param text the token
	 * @param layers layers executed for the token, in order
	 * @param last whether it ends the reply
	 */
	public record Event(String stream, int epoch, int index, String text, List<Stage.Trace> layers, boolean last) {

	}

}
