/**
 * Handler of completions: admission, chain choice, delivery, repair and resume.
 */
@NullMarked
package io.bilberryvalve.daemon.reply;

import org.jspecify.annotations.NullMarked;
