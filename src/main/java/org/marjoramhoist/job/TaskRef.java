package org.marjoramhoist.job;

/**
 * Names a task of a job.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param job the job
 * @param step the number of the step, from 0
 * @param index the number of the task within the step, from 0
 */
public record TaskRef(JobId job, int step, int index) {}
