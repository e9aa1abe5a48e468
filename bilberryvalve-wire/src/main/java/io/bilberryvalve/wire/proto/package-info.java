/**
 * Messages between daemons, generated from the files in {@code src/main/proto}.
 */
package io.bilberryvalve.wire.proto;
