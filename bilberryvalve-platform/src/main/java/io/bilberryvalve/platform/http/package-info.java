/**
 * Clients of the platform services over HTTP.
 */
@NullMarked
package io.bilberryvalve.platform.http;

import org.jspecify.annotations.NullMarked;
