package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.job.JobOutcome;

/** Ends open jobs and answers those who wait for them. Called from one thread only. */
@FunctionalInterface
interface JobFinisher {

  /**
   * Ends a job and stops its runs.
   *
   * @param reason why, for the answers
   */
  void end(Job job, JobOutcome outcome, String reason, long now, List<DispatchAction> out);
}
