/**
 * Pure decisions of an entry host: claims, admission, queueing, placement, retries, limits,
 * membership and configuration.
 *
 * <p>Every class here is deterministic and confined to one thread. None reads a clock, does I/O,
 * starts a thread or draws a random number; time arrives as an argument, in microseconds since the
 * epoch, and effects leave as {@link org.marjoramhoist.decision.Action} values.
 */
package org.marjoramhoist.decision;
