package org.marjoramhoist.model;

/**
 * What a task yielded.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the task
 * @param value the worker's result
 * @param worker the worker that ran it
 * @param runMicros how long it ran on the worker, in microseconds
 */
public record TaskResult(TaskId id, String value, WorkerId worker, long runMicros) {}
