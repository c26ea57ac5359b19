/**
 * Decides for the leader of a partition: the order of waiting, the choice of worker, leases, what
 * is known of a run, and when a job ends. Pure: it never does I/O, reads a clock or starts a
 * thread.
 *
 * <p>{@code Dispatcher} takes in the events. The parts that settings turn on are: {@code
 * SlackPlacement} for placement by slack; {@code Shedding}, {@code LoadShedder}, {@code
 * ReturnTimes} and {@code ValueIntake} for load shedding; {@code GroupWeights} and {@code
 * ServedShares} for fair shares. {@code Drains} holds the failure domains that the operator drains.
 */
package org.marjoramhoist.dispatch;
