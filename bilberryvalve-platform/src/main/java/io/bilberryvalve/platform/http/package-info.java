/**
 * HTTP clients of the platform services.
 */
@NullMarked
package io.bilberryvalve.platform.http;

import org.jspecify.annotations.NullMarked;
