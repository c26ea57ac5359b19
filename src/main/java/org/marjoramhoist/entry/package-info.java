/**
 * An entry host on the platform: takes callers' jobs, hands them to the partition's leader, and
 * leads when it is elected. All of it runs on one I/O thread.
 */
package org.marjoramhoist.entry;
