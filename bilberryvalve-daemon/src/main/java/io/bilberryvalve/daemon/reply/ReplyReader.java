package io.bilberryvalve.daemon.reply;

/**
 * Learns how far a cursor has read.
 */
interface ReplyReader {

	/**
	 * The cursor starts to read.
	 */
	void joined();

	/**
	 * The cursor has handed over every token before an index.
	 * @param next index of the next token to hand over
	 */
	void read(int next);

	/**
	 * The cursor will not read any more.
	 */
	void left();

}
