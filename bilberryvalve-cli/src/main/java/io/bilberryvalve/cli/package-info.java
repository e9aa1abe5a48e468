/**
 * The operator command.
 */
@NullMarked
package io.bilberryvalve.cli;

import org.jspecify.annotations.NullMarked;
