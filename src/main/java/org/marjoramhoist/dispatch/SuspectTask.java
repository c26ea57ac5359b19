package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.JobId;

/**
 * A task of an ephemeral job that may have crashed workers, as one leader tells the next.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param job the job
 * @param step the step of the task
 * @param index the index of the task in the step
 * @param losses the workers that were lost with a run of it
 */
public record SuspectTask(JobId job, int step, int index, List<WorkerLoss> losses) {

  /** Creates a value with a copy of the list. */
  public SuspectTask {
    losses = List.copyOf(losses);
  }
}
