package org.marjoramhoist.lead;

/**
 * Time-outs of the election, in microseconds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param suspectMicros the silence after which a leader is suspected
 * @param contactMicros how long a leader may be without the store and without most hosts
 * @param startMicros how long a leader may start new runs after it sent the heartbeats that most
 *     hosts confirmed; less than the silence after which they may elect another
 * @param recordStartMicros how long a leader may start new runs after it asked for the record that
 *     still named it
 * @param rankMicros how much later each host stands than the one before it
 */
public record ElectionTimeouts(
    long suspectMicros,
    long contactMicros,
    long startMicros,
    long recordStartMicros,
    long rankMicros) {}
