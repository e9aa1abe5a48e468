package io.bilberryvalve.daemon.reply;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.bilberryvalve.model.Problem;
import org.jspecify.annotations.Nullable;

/**
 * Append-only log of the delivered tokens of a reply. One thread at a time appends; any
 * number of threads may read without locks. Listeners run after every change, in the
 * thread that made it.
 */
final class ReplyLog {

	private static final int INITIAL_SIZE = 16;

	private final int firstIndex;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile ReplyToken[] tokens = new ReplyToken[INITIAL_SIZE];

	private volatile int size;

	private volatile @Nullable Problem problem;

	private volatile boolean ended;

	private int characters;

	/**
	 * Creates an empty log.
	 * @param firstIndex index of the first token that will be appended
	 */
	ReplyLog(int firstIndex) {
		this.firstIndex = firstIndex;
	}

	void append(ReplyToken token) {
		int at = this.size;
		if (token.index() != this.firstIndex + at) {
			throw new IllegalStateException(
					"token " + token.index() + " does not follow index " + (this.firstIndex + at - 1));
		}
		if (at == this.tokens.length) {
			this.tokens = Arrays.copyOf(this.tokens, at * 2);
		}
		this.tokens[at] = token;
		this.characters += token.text().length();
		// The volatile write publishes the array element to readers.
		this.size = at + 1;
		notifyListeners();
	}

	void complete() {
		this.ended = true;
		notifyListeners();
	}

	void fail(Problem reason) {
		this.problem = reason;
		this.ended = true;
		notifyListeners();
	}

	/**
	 * Returns the index after the last token.
	 * @return the index of the next token
	 */
	int nextIndex() {
		return this.firstIndex + this.size;
	}

	int firstIndex() {
		return this.firstIndex;
	}

	int characters() {
		return this.characters;
	}

	boolean ended() {
		return this.ended;
	}

	@Nullable Problem problem() {
		return this.problem;
	}

	ReplyToken token(int index) {
		return this.tokens[index - this.firstIndex];
	}

	List<ReplyToken> tokens(int from, int limit) {
		List<ReplyToken> list = new ArrayList<>();
		int end = Math.min(nextIndex(), from + limit);
		for (int i = Math.max(from, this.firstIndex); i < end; i++) {
			list.add(token(i));
		}
		return list;
	}

	List<String> texts() {
		return tokens(this.firstIndex, Integer.MAX_VALUE - this.firstIndex).stream().map(ReplyToken::text).toList();
	}

	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	void removeListener(Runnable listener) {
		this.listeners.remove(listener);
	}

	private void notifyListeners() {
		this.listeners.forEach(Runnable::run);
	}

}
