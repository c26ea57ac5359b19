package org.marjoramhoist.decision;

import org.marjoramhoist.model.UpstreamId;

/**
 * What this host knows of one upstream: its workers, what waits for it, and how long tasks run.
 *
 * <p>Confined to one thread.
 */
final class UpstreamState {

  private final UpstreamId id;
  private final RunTimes runTimes = new RunTimes();
  private final WorkerPool pool = new WorkerPool(runTimes);
  private final JobQueue queue = new JobQueue();
  private double queuedWork;
  private int running;

  UpstreamState(UpstreamId id) {
    this.id = id;
  }

  UpstreamId id() {
    return id;
  }

  RunTimes runTimes() {
    return runTimes;
  }

  WorkerPool pool() {
    return pool;
  }

  JobQueue queue() {
    return queue;
  }

  /** Returns the expected worker time of what waits, in microseconds. */
  double queuedWork() {
    return queuedWork;
  }

  void addQueuedWork(double micros) {
    queuedWork = Math.max(0, queuedWork + micros);
  }

  int running() {
    return running;
  }

  void addRunning(int count) {
    running += count;
  }

  /** Returns how many tasks wait or run. */
  int demand() {
    return queue.waitingTasks() + running;
  }
}
