package org.marjoramhoist.dispatch;

/**
 * Strategy for choosing a worker for a task among the workers that may run it and have enough free
 * capacity.
 */
interface PlacementStrategy {

  /**
   * Starts the selection of a worker.
   *
   * @param task the task
   * @param micros the predicted run time on an average worker near the data of the task
   */
  Selection newSelection(Task task, double micros, long now);

  /** The state of one selection. Confined to one thread. */
  interface Selection {

    /** Returns whether a worker is considered at all. Called before more expensive checks. */
    default boolean isEligible(Worker worker) {
      return true;
    }

    /**
     * Adds a worker that may run the task now.
     *
     * @param slowdown the predicted run time on this worker, divided by that on an average worker
     *     near the data of the task
     */
    void addCandidate(Worker worker, double slowdown);

    /** Returns the best candidate; null if there is none or if the task should wait. */
    WorkerSelector.Choice best();
  }
}
