package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.JobOutcome;

/** Ends jobs and notifies the waiting entry hosts. Called from one thread only. */
@FunctionalInterface
interface JobFinisher {

  /**
   * Ends a job and stops its runs.
   *
   * @param reason the reason for the outcome, for logs and responses
   */
  void end(Job job, JobOutcome outcome, String reason, long now, List<DispatchAction> out);
}
