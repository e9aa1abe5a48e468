package io.bilberryvalve.daemon.reply;

/**
 * Learns how far a cursor has read.
 */
interface ReplyReaderListener {

	/**
	 * The cursor starts to read.
	 */
	void onReaderAttached();

	/**
	 * The cursor has handed over every token before an index.
	 * @param next index of the next token to hand over
	 */
	void onRead(int next);

	/**
	 * The cursor will not read any more.
	 */
	void onReaderDetached();

}
