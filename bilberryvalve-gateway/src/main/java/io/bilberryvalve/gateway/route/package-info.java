/**
 * Routes, services and callers as declared in the configuration.
 */
@NullMarked
package io.bilberryvalve.gateway.route;

import org.jspecify.annotations.NullMarked;
