package io.bilberryvalve.daemon.reply;

/**
 * A reply that a caller can read.
 *
 * @param log its tokens
 * @param listener told how far the caller has read
 */
record OpenReply(ReplyLog log, ReplyReaderListener listener) {

}
