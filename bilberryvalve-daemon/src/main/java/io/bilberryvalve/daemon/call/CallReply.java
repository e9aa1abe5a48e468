package io.bilberryvalve.daemon.call;

/**
 * Answer to a caller.
 *
 * @param result answer of the runner
 * @param repeated whether an earlier request ran the call
 */
record CallReply(CallResult result, boolean repeated) {

}
