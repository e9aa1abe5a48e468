package io.bilberryvalve.daemon.reply;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;

/**
 * Attempts of one reply that fell silent and stay open beside their replacement, in the
 * order of their epochs. An engine that was silent may go on, so an attempt is given up
 * only when another one continues the reply or has taken over one of its stages. Not
 * thread-safe; only tasks of the {@link SerialExecutor} of the reply use it.
 */
final class SilentAttempts {

	private final Deque<Attempt> attempts = new ArrayDeque<>();

	void add(Attempt attempt) {
		this.attempts.addLast(attempt);
	}

	boolean contains(Attempt attempt) {
		return this.attempts.contains(attempt);
	}

	boolean isEmpty() {
		return this.attempts.isEmpty();
	}

	boolean remove(Attempt attempt) {
		return this.attempts.remove(attempt);
	}

	/**
	 * Removes the attempt with the highest epoch.
	 * @return the attempt
	 * @throws java.util.NoSuchElementException if there is none
	 */
	Attempt removeLatest() {
		return this.attempts.removeLast();
	}

	List<Attempt> list() {
		return List.copyOf(this.attempts);
	}

	/**
	 * Removes all attempts.
	 * @return the removed attempts
	 */
	List<Attempt> removeAll() {
		List<Attempt> removed = List.copyOf(this.attempts);
		this.attempts.clear();
		return removed;
	}

	/**
	 * Removes the attempts that share a stage with a chain. Such an attempt cannot go on,
	 * because a stage refuses the steps of all epochs before its latest one.
	 * @param chain chain of a later epoch that an engine has accepted
	 * @return the removed attempts
	 */
	List<Attempt> removeSharing(Chain chain) {
		List<RunnerId> runners = chain.stages().stream().map(Stage::runner).map((runner) -> runner.id()).toList();
		List<Attempt> removed = new ArrayList<>();
		for (Attempt attempt : this.attempts) {
			if (attempt.chain().uses(runners)) {
				removed.add(attempt);
			}
		}
		this.attempts.removeAll(removed);
		return removed;
	}

}
