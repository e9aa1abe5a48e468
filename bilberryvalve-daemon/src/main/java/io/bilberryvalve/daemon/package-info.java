/**
 * The entry daemon.
 */
@NullMarked
package io.bilberryvalve.daemon;

import org.jspecify.annotations.NullMarked;
