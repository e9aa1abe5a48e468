package io.bilberryvalve.daemon.reply;

/**
 * Listener for the progress of a reader of a reply.
 */
interface ReplyReaderListener {

	/**
	 * Called when the reader starts to read.
	 */
	void onReaderAttached();

	/**
	 * Called when the reader has received every token before an index.
	 * @param next index of the next token that the reader receives
	 */
	void onRead(int next);

	/**
	 * Called when the reader has stopped, at the end of the reply or before.
	 */
	void onReaderDetached();

}
