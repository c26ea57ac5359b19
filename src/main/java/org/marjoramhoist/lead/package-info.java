/**
 * Decides which host leads the partition: suspicion, takeover, and when a leader steps down. Pure:
 * it never does I/O, reads a clock or starts a thread.
 */
package org.marjoramhoist.lead;
