package io.bilberryvalve.daemon.share;

/**
 * State of the admission at one time.
 *
 * @param limit streams that this entry may use
 * @param running requests that run
 * @param waiting requests that wait
 * @param isolated whether the safe share is used because no other entry reports
 * @param admitted requests admitted since the start
 * @param rejected requests rejected since the start
 */
public record AdmissionStatus(int limit, int running, int waiting, boolean isolated, long admitted, long rejected) {

}
