/**
 * Exchange of load, availability of runners and membership between daemons.
 */
@NullMarked
package io.bilberryvalve.gateway.peer;

import org.jspecify.annotations.NullMarked;
