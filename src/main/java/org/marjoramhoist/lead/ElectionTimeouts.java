package org.marjoramhoist.lead;

/**
 * Timeouts of the election, in microseconds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param suspicionTimeoutMicros how long after the last heartbeat a leader is suspected to have
 *     failed
 * @param contactTimeoutMicros how long a leader may lead without confirmation by the record or by
 *     most hosts
 * @param startTimeoutMicros how long a leader may start new runs after it sent the heartbeats that
 *     most hosts confirmed; shorter than the suspicion timeout, after which they may elect another
 * @param recordStartTimeoutMicros how long a leader may start new runs after it requested the read
 *     that confirmed its record
 * @param rankDelayMicros the delay between the candidacies of two hosts that follow each other in
 *     rank
 */
public record ElectionTimeouts(
    long suspicionTimeoutMicros,
    long contactTimeoutMicros,
    long startTimeoutMicros,
    long recordStartTimeoutMicros,
    long rankDelayMicros) {}
