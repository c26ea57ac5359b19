package org.marjoramhoist.decision;

import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.TaskSpec;

/**
 * One attempt to run a task, until its end is known.
 *
 * <p>Confined to one thread.
 */
final class Attempt {

  private final AttemptId id;
  private final JobRun job;
  private final TaskSpec task;
  private final UpstreamState upstream;
  private final WorkerState worker;
  private final double expected;
  private final long startedAt;
  private long leaseDeadline;
  private long nextCheck;
  private long checkInterval;
  private boolean asking;
  private boolean unclear;
  private boolean renewable = true;

  Attempt(
      AttemptId id,
      JobRun job,
      TaskSpec task,
      UpstreamState upstream,
      WorkerState worker,
      double expected,
      long startedAt) {
    this.id = id;
    this.job = job;
    this.task = task;
    this.upstream = upstream;
    this.worker = worker;
    this.expected = expected;
    this.startedAt = startedAt;
  }

  AttemptId id() {
    return id;
  }

  JobRun job() {
    return job;
  }

  TaskSpec task() {
    return task;
  }

  UpstreamState upstream() {
    return upstream;
  }

  WorkerState worker() {
    return worker;
  }

  /** Returns the expected run time on this worker, in microseconds. */
  double expected() {
    return expected;
  }

  long startedAt() {
    return startedAt;
  }

  /** Returns when the worker must have stopped the task, in microseconds since the epoch. */
  long leaseDeadline() {
    return leaseDeadline;
  }

  void renewLease(long deadline) {
    leaseDeadline = Math.max(leaseDeadline, deadline);
  }

  long nextCheck() {
    return nextCheck;
  }

  /** Plans the next question about the attempt, each later than the one before. */
  void planCheck(long now, long interval) {
    checkInterval = interval;
    nextCheck = now + interval;
  }

  long checkInterval() {
    return checkInterval;
  }

  /** Tells whether a question about the attempt is open. */
  boolean isAsking() {
    return asking;
  }

  void setAsking(boolean open) {
    asking = open;
  }

  /** Tells whether the connection that carried the attempt is gone. */
  boolean isUnclear() {
    return unclear;
  }

  /** Notes that the worker could not be reached: its lease is not renewed until it answers. */
  void setUnclear() {
    unclear = true;
    renewable = false;
  }

  /** Notes that the worker has said that it runs the task. */
  void setRunning() {
    asking = false;
    renewable = true;
  }

  /** Tells whether a question may renew the lease. */
  boolean isRenewable() {
    return renewable;
  }
}
