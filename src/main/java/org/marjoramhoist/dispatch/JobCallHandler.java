package org.marjoramhoist.dispatch;

import java.util.List;
import java.util.Optional;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchEvent.JobCallReceived;
import org.marjoramhoist.dispatch.DispatchEvent.JobsLoaded;
import org.marjoramhoist.dispatch.RecentOutcomes.Outcome;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.log.LogEvent;

/**
 * Handles the calls that submit, look up and cancel durable jobs.
 *
 * <p>Invariant: no call is answered before the stored jobs are loaded. Confined to one thread.
 */
final class JobCallHandler {

  /**
   * No durable job is accepted while the backlog is longer, as each accepted job must be completed
   * eventually.
   */
  private static final double MAX_BACKLOG_MICROS = 5_000_000;

  private static final long MICROS_PER_MILLI = 1_000;

  private final JobRegistry jobs;
  private final DurableJobs durableJobs;
  private final WorkerRegistry workers;
  private final Backlog backlog;
  private final RunController runController;
  private final JobFinisher jobFinisher;
  private final RetryDelays retryDelays;

  /** Computes retry delays. Called from one thread only. */
  @FunctionalInterface
  interface RetryDelays {

    /** Returns the delay in milliseconds after which the caller of a refused job may retry. */
    long retryAfterMillis(StoredJob record, long now);
  }

  JobCallHandler(
      JobRegistry jobs,
      DurableJobs durableJobs,
      WorkerRegistry workers,
      Backlog backlog,
      RunController runController,
      JobFinisher jobFinisher,
      RetryDelays retryDelays) {
    this.jobs = jobs;
    this.durableJobs = durableJobs;
    this.workers = workers;
    this.backlog = backlog;
    this.runController = runController;
    this.jobFinisher = jobFinisher;
    this.retryDelays = retryDelays;
  }

  /**
   * Handles a call; the reply to one that is received before the stored jobs are loaded is
   * deferred.
   */
  void handle(JobCallReceived call, long now, List<DispatchAction> out) {
    if (!durableJobs.isLoaded()) {
      durableJobs.deferCall(call);
      return;
    }
    if (durableJobs.isHalted(call.job())) {
      durableJobs.answerHalted(call, now, out);
      return;
    }
    Job job = jobs.find(call.job());
    if (job == null && (call.kind() != JobCallKind.SUBMIT || durableJobs.hasEnded(call.job()))) {
      if (call.kind() == JobCallKind.CANCEL) {
        jobs.outcomes().addCancelled(call.job(), Withdrawals.CANCELLED_REASON, now);
      }
      durableJobs.answerEnded(call, now, out);
      return;
    }
    switch (call.kind()) {
      case SUBMIT -> submitDurable(call, job, now, out);
      case STATUS -> durableJobs.answerStatus(call, job, now, out);
      default -> cancel(call, job, now, out);
    }
  }

  private void submitDurable(JobCallReceived call, Job known, long now, List<DispatchAction> out) {
    if (known != null) {
      durableJobs.answerRepeatedSubmission(call, known, out);
      return;
    }
    Outcome earlier = jobs.outcomes().takeAnswer(call.job(), call.heardAt(), now);
    if (earlier != null) {
      refuse(call, earlier.reason(), earlier.retryAfterMillis(now), out);
      return;
    }
    String refusal = refusalReason(call.record(), now);
    if (refusal == null) {
      jobs.add(durableJobs.accept(call));
      return;
    }
    long retryAfterMillis = retryDelays.retryAfterMillis(call.record(), now);
    long retryAt = now + retryAfterMillis * MICROS_PER_MILLI;
    jobs.outcomes().add(call.job(), Outcome.ofUnstarted(JobOutcome.REFUSED, refusal, retryAt, now));
    refuse(call, refusal, retryAfterMillis, out);
  }

  private static void refuse(
      JobCallReceived call, String reason, long retryAfterMillis, List<DispatchAction> out) {
    out.add(new Log(LogEvent.JOB_REFUSED, "job=" + call.job() + " reason=" + reason));
    out.add(refusal(call, retryAfterMillis));
  }

  private static DispatchAction refusal(JobCallReceived call, long retryAfterMillis) {
    return new DispatchAction.Reply(
        call.entry(), call.call(), JobCallResult.REFUSED, null, retryAfterMillis, call.sentCount());
  }

  /**
   * Handles the confirmation that a batch is stored, which may show that the store refuses a job.
   */
  void handleStoredBatch(long number, long now, List<DispatchAction> out) {
    DurableJobs.StoreResults results = durableJobs.confirmBatch(number, now, out);
    results.accepted().forEach(jobs::markWaiting);
    results.refused().forEach(job -> endUnstorable(job, now, out));
  }

  /**
   * Ends a job that the store refuses for what it contains. A job whose record is refused was never
   * accepted; one whose progress is refused fails, as a later leader would not know what has run.
   */
  private void endUnstorable(Job job, long now, List<DispatchAction> out) {
    if (job.stored) {
      jobFinisher.end(job, JobOutcome.FAILED, "its progress can't be stored", now, out);
      return;
    }
    long retryAfterMillis = retryDelays.retryAfterMillis(job.record(), now);
    durableJobs.forget(job, call -> refusal(call, retryAfterMillis), out);
    jobs.end(job, JobOutcome.REFUSED, "it can't be stored", retryAfterMillis, now, out);
  }

  /** Returns why a durable job cannot be accepted now; null if it can. */
  private String refusalReason(StoredJob record, long now) {
    if (durableJobs.isStalled(now)) {
      return "the store accepts no writes";
    }
    if (workers.fitsNoKnownWorker(record.job(), record.requestClass(), now)) {
      return "no worker can run it";
    }
    if (workers.requiresDrainedDomain(record.job(), record.requestClass())) {
      return DomainDrains.ONLY_DRAINED_DOMAINS;
    }
    Optional<String> lack = jobs.lackOfRoom(record.job(), durableJobs.endedBytes());
    if (lack.isPresent()) {
      return lack.get();
    }
    return backlog.totalMicros() > MAX_BACKLOG_MICROS ? "too much waits" : null;
  }

  private void cancel(JobCallReceived call, Job job, long now, List<DispatchAction> out) {
    if (job.isDurable()) {
      durableJobs.awaitStored(call, job);
    } else {
      out.add(new DispatchAction.Reply(call, JobCallResult.DONE, JobStatus.CANCELLED));
    }
    jobFinisher.end(job, JobOutcome.CANCELLED, Withdrawals.CANCELLED_REASON, now, out);
  }

  /** Handles the stored jobs, and then the calls that were received before. */
  void loadJobs(JobsLoaded event, long now, List<DispatchAction> out) {
    List<Job> open = durableJobs.load(event);
    out.add(
        new Log(
            LogEvent.JOBS_LOADED,
            "ordinal="
                + event.ordinal()
                + " open="
                + open.size()
                + " ended="
                + event.ended().size()));
    open.forEach(jobs::add);
    runController.retryForeignCompletions(workers.all(), now, out);
    for (Job job : open) {
      if (jobs.find(job.id()) != job) {
        continue;
      }
      runController.adoptEarlierRuns(job, workers.all(), now, out);
      if (job.isComplete()) {
        jobFinisher.end(job, JobOutcome.SUCCEEDED, "completed under a previous leader", now, out);
      }
    }
    durableJobs.removeDeferredCalls().forEach(call -> handle(call, now, out));
  }
}
