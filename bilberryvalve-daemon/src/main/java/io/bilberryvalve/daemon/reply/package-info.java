/**
 * Serves completion requests: admission, choice of a chain, delivery of the tokens,
 * repair after failures and resumption by the caller.
 */
@NullMarked
package io.bilberryvalve.daemon.reply;

import org.jspecify.annotations.NullMarked;
