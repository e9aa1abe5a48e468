package io.bilberryvalve.policy.share;

import io.bilberryvalve.model.VmId;

/**
 * An entry that shares the capacity, as the member list shows it.
 *
 * @param vm its VM
 * @param absent whether it has not been heard for the absence limit
 */
public record KnownEntry(VmId vm, boolean absent) {

}
