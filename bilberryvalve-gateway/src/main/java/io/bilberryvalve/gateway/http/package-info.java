/**
 * HTTP connections to callers and runners.
 */
@NullMarked
package io.bilberryvalve.gateway.http;

import org.jspecify.annotations.NullMarked;
