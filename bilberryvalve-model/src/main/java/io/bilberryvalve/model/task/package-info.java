/**
 * Tasks that run on the threads of a scheduler.
 */
@NullMarked
package io.bilberryvalve.model.task;

import org.jspecify.annotations.NullMarked;
