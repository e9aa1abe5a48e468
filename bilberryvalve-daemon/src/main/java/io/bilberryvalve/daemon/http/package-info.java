/**
 * HTTP server of an entry: routing, authentication, size and time limits, and problem
 * documents.
 */
@NullMarked
package io.bilberryvalve.daemon.http;

import org.jspecify.annotations.NullMarked;
