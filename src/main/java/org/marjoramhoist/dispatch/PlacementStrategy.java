package org.marjoramhoist.dispatch;

/** How a worker is chosen for a task among those that may run it and have room for it. */
interface PlacementStrategy {

  /**
   * Begins a choice.
   *
   * @param task the task
   * @param micros its expected run time on an average worker, near its data
   */
  Selection newSelection(Task task, double micros, long now);

  /** A choice under way. Confined to one thread. */
  interface Selection {

    /** Tells whether a worker may be chosen at all; cheap, as it is asked first. */
    default boolean isEligible(Worker worker) {
      return true;
    }

    /**
     * Takes in a worker that may run the task now.
     *
     * @param factor how many times as long as on an average worker, near its data, the task runs
     *     there
     */
    void addCandidate(Worker worker, double factor);

    /** Returns the best of the workers; null if the task had better wait, or there is none. */
    WorkerSelector.Choice best();
  }
}
