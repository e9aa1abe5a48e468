/**
 * Watchers that report the rows of a table and their changes to a listener.
 */
@NullMarked
package io.bilberryvalve.platform.watch;

import org.jspecify.annotations.NullMarked;
