/**
 * Communication with the other daemons.
 */
@NullMarked
package io.bilberryvalve.daemon.peer;

import org.jspecify.annotations.NullMarked;
