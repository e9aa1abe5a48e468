package io.bilberryvalve.policy.outcome;

/**
 * Position up to which a reply has been delivered.
 *
 * @param epoch current attempt epoch, from 1
 * @param nextIndex index of the next token, from 0
 */
public record ReplyPosition(int epoch, int nextIndex) {

}
