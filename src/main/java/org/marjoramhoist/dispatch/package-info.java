/**
 * The scheduling decisions of a partition's leader: queue order, choice of worker, leases, tracking
 * of runs, and completion of jobs. The package does no I/O, reads no clock and starts no thread.
 *
 * <p>{@code Dispatcher} handles the events. Optional parts are enabled by settings: {@code
 * SlackPlacementStrategy} for slack-based placement; {@code SheddingState}, {@code LoadShedder},
 * {@code RetrySchedule} and {@code ValueBasedAdmission} for load shedding; {@code FairShareWeights}
 * and {@code ServedShares} for fair shares. {@code DomainDrains} holds the failure domains that the
 * operator drains.
 */
package org.marjoramhoist.dispatch;
