package io.bilberryvalve.daemon.reply;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.bilberryvalve.model.Problem;
import org.jspecify.annotations.Nullable;

/**
 * The delivered tokens of a reply. One thread at a time appends; any number of readers
 * read without locks and are told when there is more.
 */
final class ReplyLog {

	private static final int INITIAL_SIZE = 16;

	private final int base;

	private final List<Runnable> readers = new CopyOnWriteArrayList<>();

	private volatile ReplyToken[] tokens = new ReplyToken[INITIAL_SIZE];

	private volatile int size;

	private volatile @Nullable Problem problem;

	private volatile boolean ended;

	private int characters;

	/**
	 * Creates an empty log.
	 * @param base index of the first token that will be appended
	 */
	ReplyLog(int base) {
		this.base = base;
	}

	void append(ReplyToken token) {
		int at = this.size;
		if (token.index() != this.base + at) {
			throw new IllegalStateException(
					"token " + token.index() + " does not follow index " + (this.base + at - 1));
		}
		if (at == this.tokens.length) {
			this.tokens = Arrays.copyOf(this.tokens, at * 2);
		}
		this.tokens[at] = token;
		this.characters += token.text().length();
		// The volatile write publishes the array element to readers.
		this.size = at + 1;
		wake();
	}

	void complete() {
		this.ended = true;
		wake();
	}

	void fail(Problem reason) {
		this.problem = reason;
		this.ended = true;
		wake();
	}

	/**
	 * Returns the index after the last token.
	 * @return the index of the next token
	 */
	int next() {
		return this.base + this.size;
	}

	int base() {
		return this.base;
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
		return this.tokens[index - this.base];
	}

	List<ReplyToken> tokens(int from, int limit) {
		List<ReplyToken> list = new ArrayList<>();
		int end = Math.min(next(), from + limit);
		for (int i = Math.max(from, this.base); i < end; i++) {
			list.add(token(i));
		}
		return list;
	}

	List<String> texts() {
		return tokens(this.base, Integer.MAX_VALUE - this.base).stream().map(ReplyToken::text).toList();
	}

	void register(Runnable reader) {
		this.readers.add(reader);
	}

	void remove(Runnable reader) {
		this.readers.remove(reader);
	}

	private void wake() {
		this.readers.forEach(Runnable::run);
	}

}
