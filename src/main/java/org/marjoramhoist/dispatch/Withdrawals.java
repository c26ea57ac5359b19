package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.function.Predicate;
import org.marjoramhoist.dispatch.DispatchEvent.EntryHostLost;
import org.marjoramhoist.dispatch.DispatchEvent.EntryHostReconnected;
import org.marjoramhoist.dispatch.DispatchEvent.JobWithdrawn;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;

/**
 * Ends the jobs that no entry host waits for any more, and those that their callers have cancelled.
 *
 * <p>Invariant: a job that was not cancelled goes on while another entry host waits for it.
 * Confined to one thread.
 */
final class Withdrawals {

  static final String CANCELLED_REASON = "cancelled by its caller";

  private final JobRegistry jobs;
  private final JobFinisher jobFinisher;

  Withdrawals(JobRegistry jobs, JobFinisher jobFinisher) {
    this.jobs = jobs;
    this.jobFinisher = jobFinisher;
  }

  void jobWithdrawn(JobWithdrawn event, long now, List<DispatchAction> out) {
    Job job = jobs.find(event.job());
    if (event.cancelled()) {
      cancel(event.job(), now, out);
    } else if (job != null) {
      withdraw(job, event.entry(), now, out);
    }
  }

  /**
   * Ends a job that its caller has cancelled, for all entry hosts, and prevents that a submission
   * that is still on its way starts it. A durable job is not ended here, as its end must be stored.
   */
  void cancel(JobId id, long now, List<DispatchAction> out) {
    Job job = jobs.find(id);
    if (job == null) {
      jobs.outcomes().addCancelled(id, CANCELLED_REASON, now);
    } else if (!job.isDurable()) {
      jobFinisher.end(job, JobOutcome.CANCELLED, CANCELLED_REASON, now, out);
    }
  }

  void hostLost(EntryHostLost event, long now, List<DispatchAction> out) {
    withdrawJobs(event.entry(), submission -> true, now, out);
  }

  /** Withdraws the jobs that a host has not submitted since it found the leader anew. */
  void hostReconnected(EntryHostReconnected event, long now, List<DispatchAction> out) {
    withdrawJobs(event.entry(), submission -> submission.heardAt() < event.since(), now, out);
  }

  private void withdrawJobs(
      String entry, Predicate<Job.Submission> withdrawn, long now, List<DispatchAction> out) {
    for (Job job : List.copyOf(jobs.all())) {
      Job.Submission last = job.entries.get(entry);
      if (last != null && withdrawn.test(last)) {
        withdraw(job, entry, now, out);
      }
    }
  }

  private void withdraw(Job job, String entry, long now, List<DispatchAction> out) {
    boolean waited = job.entries.remove(entry) != null;
    if (waited && job.entries.isEmpty()) {
      jobFinisher.end(job, JobOutcome.ABANDONED, "withdrawn", now, out);
    }
  }
}
