/**
 * Rows of the store's tables that daemons of a data centre read from its delegates.
 */
@NullMarked
package io.bilberryvalve.gateway.feed;

import org.jspecify.annotations.NullMarked;
