/**
 * Router for HTTP requests. Routes map requests of callers to services of runners; a
 * request for a model passes a path of runners, each of which holds some of the layers.
 */
@NullMarked
package io.bilberryvalve.gateway;

import org.jspecify.annotations.NullMarked;
