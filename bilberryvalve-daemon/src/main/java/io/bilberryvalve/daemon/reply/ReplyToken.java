package io.bilberryvalve.daemon.reply;

import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * A delivered token.
 *
 * @param index token index, from 0
 * @param epoch epoch of the attempt that produced it
 * @param runner first runner of the chain that produced it
 * @param text text of the token
 * @param finishReason reason why the reply ends with this token, or {@code null} if it
 * continues
 */
record ReplyToken(int index, int epoch, RunnerId runner, String text, @Nullable String finishReason) {

}
