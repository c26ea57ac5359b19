/**
 * An entry host on the platform: accepts callers' jobs, sends them to the partition's leader, and
 * leads the partition itself when it is elected. All of it runs on one I/O thread.
 */
package org.marjoramhoist.entry;
