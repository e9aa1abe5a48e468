/**
 * Copies of tables that follow the changes in the store.
 */
@NullMarked
package io.bilberryvalve.platform.watch;

import org.jspecify.annotations.NullMarked;
