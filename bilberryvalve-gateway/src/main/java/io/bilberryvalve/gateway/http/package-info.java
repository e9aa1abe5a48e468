/**
 * HTTP server for callers, and HTTP client with connection pools for runners and the
 * store.
 */
@NullMarked
package io.bilberryvalve.gateway.http;

import org.jspecify.annotations.NullMarked;
