/**
 * HTTP server and client shared by the stand-ins.
 */
@NullMarked
package io.bilberryvalve.standins.http;

import org.jspecify.annotations.NullMarked;
