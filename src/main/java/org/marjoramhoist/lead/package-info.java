/**
 * Elects the leaders of a partition and of isolated failure domains: suspicion, takeover, hand-over
 * and stepping down.
 *
 * <p>The classes are deterministic: they do no I/O, read no clock and start no thread.
 */
package org.marjoramhoist.lead;
