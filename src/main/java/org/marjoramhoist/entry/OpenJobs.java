package org.marjoramhoist.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.JobTimeLimits;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.Withdraw;

/**
 * The non-durable jobs whose callers wait at this host.
 *
 * <p>Invariants: each caller gets exactly one result. A job is reported as not run only if it was
 * sent to no leader, or if the leader reports so in answer to the last submission: an earlier
 * answer doesn't hold for a submission that the leader has still to receive. No job is sent to both
 * the partition's leader and the leader of an isolated failure domain, as neither knows what the
 * other one runs. Confined to the event loop's thread.
 */
final class OpenJobs {

  /** How long after its deadline a job still waits for the leader's result. */
  private static final long DEADLINE_GRACE_MICROS = 30_000;

  private static final String CALLER_LEFT_REASON = "its caller has left";

  private final Map<JobId, OpenJob> open = new LinkedHashMap<>();
  private final RecentResults recentResults;
  private final LeaderTracker leaderTracker;
  private final AdmissionGate admission;
  private final SubmissionNumbers numbers;

  /** Creates an empty set with the default scheduling policy. */
  OpenJobs(LeaderTracker leaderTracker) {
    this(leaderTracker, SchedulingPolicy.DEFAULT, new SubmissionNumbers(0), new RecentResults());
  }

  /**
   * Creates an empty set of jobs, which are sent to each leader that is found.
   *
   * @param numbers numbers the submissions
   * @param recentResults what this host knows of jobs that are not open
   */
  OpenJobs(
      LeaderTracker leaderTracker,
      SchedulingPolicy scheduling,
      SubmissionNumbers numbers,
      RecentResults recentResults) {
    this.recentResults = recentResults;
    this.numbers = numbers;
    this.leaderTracker = leaderTracker;
    this.admission = new AdmissionGate(scheduling);
    leaderTracker.onLeaderFound(this::leaderFound);
    leaderTracker.onDomainLeaderChange(this::domainLeaderChanged);
  }

  /** Returns the number of open jobs. */
  int count() {
    return open.size();
  }

  boolean isOpen(JobId id) {
    return open.containsKey(id);
  }

  /**
   * Submits a job, or adds a caller to one that is already open.
   *
   * @param arrivedAt when the job arrived, in microseconds on the monotonic clock
   * @param deadline when the caller stops waiting, in microseconds on the monotonic clock
   * @param caller receives the result, once
   */
  void submit(
      JobDescription job,
      RequestClass requestClass,
      long arrivedAt,
      long deadline,
      Consumer<Finished> caller) {
    OpenJob existing = open.get(job.id());
    if (existing != null) {
      existing.callers.add(caller);
      existing.deadline = Math.max(existing.deadline, deadline);
      return;
    }
    Finished previous = recentResults.findFinal(job.id(), arrivedAt);
    if (previous != null) {
      caller.accept(previous);
      return;
    }
    OpenJob openJob = new OpenJob(job, requestClass, arrivedAt, deadline);
    openJob.callers.add(caller);
    if (!leaderTracker.isAnyLeaderExpected() || cannotFinishInTime(openJob)) {
      complete(openJob, unreachableResult(job.id()));
      return;
    }
    if (leaderTracker.partitionLeader() != null
        && !admission.admit(job, requestClass, EventLoop.now())) {
      complete(openJob, overloadedResult(job.id()));
      return;
    }
    open.put(job.id(), openJob);
    send(openJob);
  }

  /**
   * Refuses a job without sending it to a leader. A caller of a job that is open or has a result
   * gets that result instead, as the job has run or may run.
   */
  void refuse(JobId id, String reason, long retryAfterMillis, Consumer<Finished> caller) {
    OpenJob existing = open.get(id);
    if (existing != null) {
      existing.callers.add(caller);
      return;
    }
    long now = EventLoop.now();
    Finished previous = recentResults.findFinal(id, now);
    Finished refusal = new Finished(id, JobOutcome.REFUSED, reason, retryAfterMillis);
    caller.accept(previous != null ? previous : recentResults.reconcile(refusal, now));
  }

  /** Returns whether a job could not finish in time even if a leader were found now. */
  private boolean cannotFinishInTime(OpenJob openJob) {
    return !leaderTracker.hasLeader()
        && !JobTimeLimits.canFinishInTime(
            openJob.job,
            openJob.requestClass,
            openJob.arrivedAt,
            openJob.deadline,
            EventLoop.now());
  }

  private Finished unreachableResult(JobId id) {
    long retryAfterMillis = leaderTracker.retryAfterMillis(id, LeaderTracker.DEFAULT_RETRY_MILLIS);
    return new Finished(id, JobOutcome.REFUSED, "no leader is reached", retryAfterMillis);
  }

  private Finished overloadedResult(JobId id) {
    // Without a forecast, the retries of refused jobs are spread over time.
    long spreadMillis = Math.floorMod(id.hashCode(), LeaderTracker.DEFAULT_RETRY_MILLIS);
    long retryAfterMillis =
        leaderTracker.retryAfterMillis(id, LeaderTracker.DEFAULT_RETRY_MILLIS + spreadMillis);
    return new Finished(id, JobOutcome.REFUSED, "the leader is overloaded", retryAfterMillis);
  }

  /**
   * Sends the open jobs to the partition's leader, which was found or found again; it may have been
   * lost since.
   */
  private void leaderFound() {
    LeaderChannel leader = leaderTracker.partitionLeader();
    List<OpenJob> jobs = List.copyOf(open.values());
    long repeated =
        jobs.stream().filter(each -> !each.isUnsent() && each.domainLeader == null).count();
    if (leader != null && repeated > 0) {
      EventLog.info(
          LogEvent.JOBS_RESUBMITTED,
          "jobs={} term={} link={}",
          repeated,
          leader.term(),
          leader.linkId());
    }
    jobs.forEach(this::send);
  }

  /**
   * Sends a job to the leader, if there is one. Sending may detect a lost connection and change the
   * leader.
   */
  private void send(OpenJob openJob) {
    LeaderChannel leader = leaderTracker.partitionLeader();
    if (openJob.domainLeader != null) {
      return;
    }
    if (leader != null) {
      openJob.sendToPartition(leader, numbers.next());
    } else if (openJob.sentTerm == 0 && leaderTracker.domainLeader() != null) {
      openJob.sendToDomain(leaderTracker.domainLeader(), numbers.next());
    }
  }

  /**
   * Handles a change of the failure domain's leader. The outcome of jobs sent to another leader
   * can't be determined here, so they are abandoned; unsent jobs go to the current leader.
   */
  private void domainLeaderChanged() {
    LeaderChannel current = leaderTracker.domainLeader();
    for (OpenJob openJob : List.copyOf(open.values())) {
      boolean wasSentToOtherLeader =
          openJob.domainLeader != null
              ? openJob.domainLeader != current
                  && !leaderTracker.isFormerDomainLeader(openJob.domainLeader)
              : openJob.sentTerm != 0;
      if (wasSentToOtherLeader && (current != null || openJob.domainLeader != null)) {
        abandon(openJob, "its leader is cut off");
      } else {
        send(openJob);
      }
    }
  }

  private void abandon(OpenJob openJob, String reason) {
    withdraw(openJob, false);
    complete(openJob, new Finished(openJob.job.id(), JobOutcome.ABANDONED, reason, 0));
  }

  /** Cancels a job; returns whether it was open. */
  boolean cancel(JobId id) {
    OpenJob openJob = open.get(id);
    if (openJob == null) {
      return false;
    }
    withdraw(openJob, true);
    complete(openJob, new Finished(id, JobOutcome.CANCELLED, "cancelled by its caller", 0));
    return true;
  }

  /**
   * Handles the departure of a caller, which gets a result all the same. Its job is withdrawn at
   * once if no other caller waits for it: the caller may submit it again to another host, whose
   * leader may be another one, and must then not find it running.
   */
  void callerLeft(JobId id, Consumer<Finished> caller) {
    OpenJob openJob = open.get(id);
    if (openJob == null || !openJob.callers.contains(caller)) {
      return;
    }
    if (openJob.callers.size() == 1) {
      abandon(openJob, CALLER_LEFT_REASON);
    } else {
      openJob.callers.remove(caller);
      caller.accept(new Finished(id, JobOutcome.ABANDONED, CALLER_LEFT_REASON, 0));
    }
  }

  private void withdraw(OpenJob openJob, boolean cancelled) {
    LeaderChannel leader =
        openJob.domainLeader != null ? openJob.domainLeader : leaderTracker.partitionLeader();
    if (leader != null) {
      leader.send(new Withdraw(openJob.job.id(), cancelled));
    }
  }

  /** Handles a job's result from the current leader of the partition. */
  void finished(Finished result) {
    OpenJob openJob = findAnswered(result);
    if (openJob != null && openJob.domainLeader == null) {
      complete(openJob, result);
    }
  }

  /** Returns the job that a result is valid for; null if it is none that is open. */
  private OpenJob findAnswered(Finished result) {
    OpenJob openJob = open.get(result.job());
    return openJob != null && openJob.isAnsweredBy(result) ? openJob : null;
  }

  /**
   * Handles a job's result from the leader of the failure domain. A job that it refused has not
   * run, so it is sent to the partition's leader if that one is reachable again.
   */
  void finishedByDomainLeader(Finished result) {
    OpenJob openJob = findAnswered(result);
    if (openJob == null || openJob.domainLeader == null) {
      return;
    }
    if (result.outcome() == JobOutcome.REFUSED && leaderTracker.partitionLeader() != null) {
      openJob.domainLeader = null;
      send(openJob);
    } else {
      complete(openJob, result);
    }
  }

  /**
   * Handles a job that the leader of the failure domain returned unstarted while handing over
   * leadership; the job is sent to the next leader.
   */
  void releasedByDomainLeader(Finished result) {
    OpenJob openJob = findAnswered(result);
    if (openJob != null && openJob.domainLeader != null) {
      openJob.domainLeader = null;
      send(openJob);
    }
  }

  private void complete(OpenJob openJob, Finished result) {
    open.remove(openJob.job.id());
    Finished reconciled = recentResults.reconcile(result, EventLoop.now());
    recentResults.add(reconciled, EventLoop.now());
    for (Consumer<Finished> caller : openJob.callers) {
      caller.accept(reconciled);
    }
  }

  /** Sets the share of new jobs that the partition's leader admits, from 0 to 1. */
  void setAdmittedShare(double share) {
    admission.setShare(share);
  }

  /**
   * Completes jobs whose deadline has passed, and unsent jobs that no leader can be expected to run
   * in time.
   */
  void tick() {
    long now = EventLoop.now();
    for (OpenJob openJob : List.copyOf(open.values())) {
      if (now > openJob.deadline + DEADLINE_GRACE_MICROS) {
        JobOutcome outcome = openJob.outcomeWithoutResult();
        withdraw(openJob, false);
        complete(openJob, new Finished(openJob.job.id(), outcome, "deadline passed", 0));
      } else if (openJob.isUnsent()
          && (!leaderTracker.isAnyLeaderExpected() || cannotFinishInTime(openJob))) {
        complete(openJob, unreachableResult(openJob.job.id()));
      }
    }
  }

  /** Withdraws all open jobs and completes them without their results before the host stops. */
  void abandonAll() {
    for (OpenJob openJob : List.copyOf(open.values())) {
      JobOutcome outcome = openJob.outcomeWithoutResult();
      long retryAfterMillis =
          outcome == JobOutcome.REFUSED ? LeaderTracker.DEFAULT_RETRY_MILLIS : 0;
      withdraw(openJob, false);
      complete(
          openJob, new Finished(openJob.job.id(), outcome, "the host stops", retryAfterMillis));
    }
  }
}
