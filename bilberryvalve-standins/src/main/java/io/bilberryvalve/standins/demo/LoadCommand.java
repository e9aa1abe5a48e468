package io.bilberryvalve.standins.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.kohsuke.args4j.Option;

/**
 * Requests replies from all entries for a while, as callers that ask the system for its
 * entries and keep the answer for its time to live. It fails if a reply is interrupted or
 * not whole.
 */
public final class LoadCommand extends QuestionOptions {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final long PAUSE_MILLIS = 20;

	@Option(name = "--callers", usage = "number of callers, each with one request at a time")
	private int callers = 8;

	@Option(name = "--millis", usage = "time in ms in which requests are started")
	private long millis = 8000;

	private final AtomicInteger complete = new AtomicInteger();

	private final AtomicInteger notRun = new AtomicInteger();

	private final AtomicInteger interrupted = new AtomicInteger();

	@Override
	public boolean run() throws InterruptedException {
		long end = System.nanoTime() + this.millis * NANOS_PER_MILLI;
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < this.callers; i++) {
			int number = i;
			Thread thread = new Thread(() -> call(number, end));
			thread.start();
			threads.add(thread);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		System.out.println("replies: whole " + this.complete + ", refused as not run and repeated elsewhere "
				+ this.notRun + ", interrupted " + this.interrupted);
		return this.complete.get() > 0 && this.interrupted.get() == 0;
	}

	private void call(int number, long end) {
		Caller caller = caller();
		List<String> known = entries();
		long refreshAt = 0;
		try {
			for (int i = 0; System.nanoTime() < end; i++) {
				if (System.nanoTime() >= refreshAt) {
					JsonNode listing = listing(caller, known);
					known = addresses(listing, known);
					refreshAt = System.nanoTime() + listing.path("ttlSeconds").asLong(1) * NANOS_PER_SECOND;
				}
				ask(caller, known, question(" no " + number + " " + i));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void ask(Caller caller, List<String> known, Question question) throws InterruptedException {
		List<Caller.Token> tokens = new ArrayList<>();
		Caller.Ending ending = caller.ask(any(known), question, tokens::add);
		if (ending.kind() == Caller.Ending.Kind.NOT_RUN) {
			this.notRun.incrementAndGet();
			Thread.sleep(PAUSE_MILLIS);
			return;
		}
		List<String> faults = question.check(tokens);
		if (ending.kind() == Caller.Ending.Kind.COMPLETE && faults.isEmpty()) {
			this.complete.incrementAndGet();
			return;
		}
		this.interrupted.incrementAndGet();
		System.out.println("interrupted: " + ending.detail() + " " + faults);
	}

	private static JsonNode listing(Caller caller, List<String> known) throws InterruptedException {
		for (int i = 0; i < known.size(); i++) {
			try {
				return caller.get(any(known), "/v1/entries");
			}
			catch (IOException ex) {
				Thread.sleep(PAUSE_MILLIS);
			}
		}
		return MissingNode.getInstance();
	}

	private static List<String> addresses(JsonNode listing, List<String> known) {
		List<String> addresses = new ArrayList<>();
		listing.path("entries").forEach((entry) -> addresses.add(entry.path("address").asText()));
		return addresses.isEmpty() ? known : addresses;
	}

	private static String any(List<String> addresses) {
		return addresses.get(ThreadLocalRandom.current().nextInt(addresses.size()));
	}

}
