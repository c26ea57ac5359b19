package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;

/** Hears how runs end. Called from one thread only. */
interface RunListener {

  /** The first task of a job is being started. */
  void jobStarted(Job job, long now);

  /** The task is done. */
  void runDone(Run run, long now, List<DispatchAction> out);

  /** The run failed, through its own fault or the worker's. */
  void runFailed(Run run, long now, List<DispatchAction> out);

  /** Reports show no progress of the run; it is being stopped. */
  void runStalled(Run run, long now, List<DispatchAction> out);

  /** The run is over without a result, or never began; its task may run again. */
  void runLost(Run run, String why, long now, List<DispatchAction> out);

  /** Returns the task that a run of an earlier leader may belong to; null if none is known. */
  Task findTask(RunRef ref);

  /** Returns the job, if it has ended and its end is not stored yet; otherwise null. */
  Job findEndingJob(JobId id);

  /** A worker must keep the end of a run until what is known of its job is stored. */
  void completionHeld(Job job, long now);

  /** A task was done in a run that an earlier leader ordered. */
  void earlierRunDone(Task task, long now, List<DispatchAction> out);

  /** A task failed in a run that an earlier leader ordered; that may be known. */
  void earlierRunFailed(Task task, RunRef run, String worker, long now, List<DispatchAction> out);

  /** Tells whether all durable jobs are known. */
  boolean areDurableJobsLoaded();

  /** Tells whether entry hosts may still hand on jobs of an earlier leader. */
  boolean acceptsResubmissions(long now);
}
