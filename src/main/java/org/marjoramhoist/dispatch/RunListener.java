package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;

/** Receives the changes of runs that concern their jobs. Called from one thread only. */
interface RunListener {

  /** The first run of a job is about to be ordered. */
  void jobStarted(Job job, long now);

  /** The run succeeded. */
  void runDone(Run run, long now, List<DispatchAction> out);

  /** The run failed because of the task or of the worker. */
  void runFailed(Run run, long now, List<DispatchAction> out);

  /** The run made no progress for the stall timeout and is being stopped. */
  void runStalled(Run run, long now, List<DispatchAction> out);

  /** The run is over without a result, or never started; its task may be started again. */
  void runLost(Run run, LossCause cause, long now, List<DispatchAction> out);

  /** A worker refuses connections; its runs may be lost. May be called repeatedly. */
  void workerRefuses(Worker worker, long now, List<DispatchAction> out);

  /**
   * A worker answered as the process that it was, or another process answered in its place.
   *
   * @param crashed whether its process has ended
   */
  void workerExplained(Worker worker, boolean crashed, long now, List<DispatchAction> out);

  /** Returns the task of a run that a previous leader ordered; null if its job is not known. */
  Task findTask(RunRef ref);

  /** Tells whether a job is one that the predecessor of this leader of a domain may be running. */
  boolean isOfPredecessor(JobId id);

  /** Tells whether this leader has handed over, so that others may use its workers. */
  boolean hasHandedOver();

  /** Returns the job if it has ended and its end is not stored yet; null otherwise. */
  Job findEndingJob(JobId id);

  /** A worker must keep the completion of a run until the progress of its job is stored. */
  void completionHeld(Job job, long now);

  /** A run that a previous leader ordered succeeded. */
  void earlierRunDone(Task task, long now, List<DispatchAction> out);

  /** A run that a previous leader ordered failed; this may have been reported before. */
  void earlierRunFailed(Task task, RunRef run, String worker, long now, List<DispatchAction> out);

  /** Tells whether the stored durable jobs are loaded. */
  boolean areDurableJobsLoaded();

  /** Tells whether entry hosts may still resubmit jobs of a previous leader. */
  boolean acceptsResubmissions(long now);
}
