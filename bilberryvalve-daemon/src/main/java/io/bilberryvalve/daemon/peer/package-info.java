/**
 * Communication with the other daemons of the federation: membership, connections,
 * broadcast messages and calls.
 */
@NullMarked
package io.bilberryvalve.daemon.peer;

import org.jspecify.annotations.NullMarked;
