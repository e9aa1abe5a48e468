package io.bilberryvalve.daemon.share;

/**
 * Immutable snapshot of the state of {@link FairAdmission}.
 *
 * @param limit number of streams that this entry may run at the same time
 * @param running number of running requests
 * @param waiting number of requests in the wait queue
 * @param isolated whether the entry receives no demand reports and therefore limits
 * itself to an equal share of the streams
 * @param admitted number of requests admitted since the start of the daemon
 * @param rejected number of requests rejected since the start of the daemon
 */
public record AdmissionStatus(int limit, int running, int waiting, boolean isolated, long admitted, long rejected) {

}
