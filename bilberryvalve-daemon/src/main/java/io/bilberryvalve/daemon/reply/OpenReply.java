package io.bilberryvalve.daemon.reply;

/**
 * A reply that is ready to be read by a caller.
 *
 * @param log tokens of the reply
 * @param listener receives how far the caller has read
 */
record OpenReply(ReplyLog log, ReplyReaderListener listener) {

}
