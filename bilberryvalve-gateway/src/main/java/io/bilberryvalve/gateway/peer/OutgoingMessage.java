package io.bilberryvalve.gateway.peer;

import java.util.Collection;

import io.bilberryvalve.model.Address;

/**
 * Message to send as one datagram to each of some daemons.
 *
 * @param kind kind of the message
 * @param bytes encoded message, which must not be changed
 * @param targets addresses of the receivers
 */
record OutgoingMessage(MessageKind kind, byte[] bytes, Collection<Address> targets) {

}
