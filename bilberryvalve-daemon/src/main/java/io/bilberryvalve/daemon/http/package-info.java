/**
 * HTTP server of an entry: routing, credentials, limits and problem documents.
 */
@NullMarked
package io.bilberryvalve.daemon.http;

import org.jspecify.annotations.NullMarked;
