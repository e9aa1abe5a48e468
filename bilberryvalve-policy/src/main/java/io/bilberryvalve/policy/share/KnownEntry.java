package io.bilberryvalve.policy.share;

import io.bilberryvalve.model.VmId;

/**
 * Another entry of the member list, which has a share of the capacity.
 *
 * @param vm VM of the entry
 * @param absent whether the member list shows the entry as absent, because nothing was
 * heard from it for the absence limit
 */
public record KnownEntry(VmId vm, boolean absent) {

}
