package org.marjoramhoist.lead;

/**
 * Time-outs of the election, in microseconds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param suspicionTimeoutMicros the silence after which a leader is suspected
 * @param contactTimeoutMicros how long a leader may be without the store and without most hosts
 * @param startTimeoutMicros how long a leader may start new runs after it sent the heartbeats that
 *     most hosts confirmed; less than the silence after which they may elect another
 * @param recordStartTimeoutMicros how long a leader may start new runs after it asked for the
 *     record that still named it
 * @param rankDelayMicros how much later each host stands than the one before it
 */
public record ElectionTimeouts(
    long suspicionTimeoutMicros,
    long contactTimeoutMicros,
    long startTimeoutMicros,
    long recordStartTimeoutMicros,
    long rankDelayMicros) {}
