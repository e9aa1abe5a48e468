package io.bilberryvalve.daemon.call;

/**
 * Reply to a caller whose call was executed.
 *
 * @param result response of the runner
 * @param repeated whether the response comes from an earlier request with the same key
 */
record CallReply(CallResult result, boolean repeated) {

}
