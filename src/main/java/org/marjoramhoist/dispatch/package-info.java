/**
 * Decides for the leader of a partition: the order of waiting, the choice of worker, leases, what
 * is known of a run, and when a job ends. Pure: it never does I/O, reads a clock or starts a
 * thread.
 */
package org.marjoramhoist.dispatch;
