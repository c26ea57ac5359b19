package org.marjoramhoist.dispatch;

import java.util.List;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchEvent.JobCallReceived;
import org.marjoramhoist.dispatch.DispatchEvent.JobsLoaded;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.log.LogEvent;

/**
 * Handles the calls by which callers submit, look up and cancel durable jobs.
 *
 * <p>Invariant: no call is answered before the stored jobs are loaded. Confined to one thread.
 */
final class JobCallHandler {

  /** No durable job is taken on while more work waits, as each that is must run in the end. */
  private static final double MAX_BACKLOG_MICROS = 5_000_000;

  private final JobRegistry jobs;
  private final DurableJobs durable;
  private final WorkerRegistry workers;
  private final Backlog backlog;
  private final RunController runs;
  private final JobFinisher ender;
  private final RetryTimes retryTimes;

  /** Tells when callers of refused jobs may come back. Called from one thread only. */
  @FunctionalInterface
  interface RetryTimes {

    /** Returns after how many milliseconds the caller of a refused job may come back. */
    long retryAfterMillis(StoredJob record, long now);
  }

  JobCallHandler(
      JobRegistry jobs,
      DurableJobs durable,
      WorkerRegistry workers,
      Backlog backlog,
      RunController runs,
      JobFinisher ender,
      RetryTimes retryTimes) {
    this.jobs = jobs;
    this.durable = durable;
    this.workers = workers;
    this.backlog = backlog;
    this.runs = runs;
    this.ender = ender;
    this.retryTimes = retryTimes;
  }

  /** Takes in a call; one that comes before the stored jobs are loaded is answered after that. */
  void called(JobCallReceived call, long now, List<DispatchAction> out) {
    if (!durable.isLoaded()) {
      durable.defer(call);
      return;
    }
    if (durable.isHalted(call.job())) {
      durable.answerHalted(call, now, out);
      return;
    }
    Job job = jobs.find(call.job());
    if (job == null && (call.kind() != JobCallKind.SUBMIT || durable.hasEnded(call.job()))) {
      durable.answerEnded(call, now, out);
      return;
    }
    switch (call.kind()) {
      case SUBMIT -> submitDurable(call, job, now, out);
      case STATUS -> durable.answerStatus(call, job, now, out);
      default -> cancel(call, job, now, out);
    }
  }

  private void submitDurable(JobCallReceived call, Job known, long now, List<DispatchAction> out) {
    if (known != null) {
      durable.submittedAgain(call, known, out);
      return;
    }
    String refusal = refusalOf(call.record(), now);
    if (refusal == null) {
      jobs.add(durable.accept(call));
      return;
    }
    out.add(new Log(LogEvent.JOB_REFUSED, "job=" + call.job() + " reason=" + refusal));
    out.add(
        new DispatchAction.Reply(
            call.entry(),
            call.call(),
            JobCallResult.REFUSED,
            null,
            retryTimes.retryAfterMillis(call.record(), now)));
  }

  /** Returns why a durable job can't be taken on now; null if it can. */
  private String refusalOf(StoredJob record, long now) {
    if (durable.isStalled(now)) {
      return "the store takes nothing";
    }
    if (workers.canNeverRun(record.job(), record.requestClass())) {
      return "no worker can run it";
    }
    if (workers.mustAwaitDrained(record.job(), record.requestClass())) {
      return Drains.NO_OTHER_DOMAIN;
    }
    return backlog.totalMicros() > MAX_BACKLOG_MICROS ? "too much waits" : null;
  }

  private void cancel(JobCallReceived call, Job job, long now, List<DispatchAction> out) {
    if (job.isDurable()) {
      durable.awaitStored(call, job);
    } else {
      out.add(
          new DispatchAction.Reply(
              call.entry(), call.call(), JobCallResult.DONE, JobStatus.CANCELLED, 0));
    }
    ender.end(job, JobOutcome.CANCELLED, "cancelled by its caller", now, out);
  }

  /** Takes in the stored jobs, and then the calls that came before them. */
  void jobsLoaded(JobsLoaded event, long now, List<DispatchAction> out) {
    List<Job> open = durable.load(event);
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
    runs.jobsLoaded(workers.all(), now, out);
    for (Job job : open) {
      if (jobs.find(job.id()) != job) {
        continue;
      }
      runs.claimEarlier(job, workers.all(), now, out);
      if (job.isComplete()) {
        ender.end(job, JobOutcome.SUCCEEDED, "done before", now, out);
      }
    }
    durable.takeEarlyCalls().forEach(call -> called(call, now, out));
  }
}
