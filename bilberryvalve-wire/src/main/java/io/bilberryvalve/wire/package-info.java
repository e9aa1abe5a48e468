/**
 * Transport between daemons: mutually authenticated TCP connections that carry protobuf
 * messages.
 */
@NullMarked
package io.bilberryvalve.wire;

import org.jspecify.annotations.NullMarked;
