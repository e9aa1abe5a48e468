/**
 * A router for HTTP requests: callers reach services of runners by routes, and requests
 * for models pass a path of runners that each hold some layers.
 */
@NullMarked
package io.bilberryvalve.gateway;

import org.jspecify.annotations.NullMarked;
