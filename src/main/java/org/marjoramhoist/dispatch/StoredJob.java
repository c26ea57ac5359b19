package org.marjoramhoist.dispatch;

import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;

/**
 * The stored record of a durable job, written when the job is accepted and never changed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param job the description of the job
 * @param requestClass its class, as configured when the job was accepted
 * @param acceptedMillis when its submission was received, in milliseconds since the Unix epoch
 */
public record StoredJob(JobDescription job, RequestClass requestClass, long acceptedMillis) {}
