package org.marjoramhoist.entry;

import java.util.ArrayList;
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
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.Submit;
import org.marjoramhoist.message.HostMessage.Withdraw;

/**
 * The jobs whose callers wait at this host.
 *
 * <p>Invariants: each caller is answered once. A job is called not run only if it was handed to no
 * leader, or if the leader in charge says so. No job is with the partition's leader and with that
 * of a failure domain that is cut off, as neither knows what the other one runs. Confined to the
 * loop's thread.
 */
final class OpenJobs {

  /** Leaves the leader's own answer at the deadline time to arrive. */
  private static final long DEADLINE_GRACE_MICROS = 30_000;

  private static final class OpenJob {
    private final JobDescription job;
    private final RequestClass requestClass;
    private final long arrivedAt;
    private long deadline;
    private long sentTerm;

    /** The leader of the failure domain that it was handed to; null if it was not. */
    private LeaderChannel domainLeader;

    private int generation;
    private final List<Consumer<Finished>> callers = new ArrayList<>();

    private OpenJob(JobDescription job, RequestClass requestClass, long arrivedAt, long deadline) {
      this.job = job;
      this.requestClass = requestClass;
      this.arrivedAt = arrivedAt;
      this.deadline = deadline;
    }
  }

  private final Map<JobId, OpenJob> open = new LinkedHashMap<>();
  private final RecentResults recentResults = new RecentResults();
  private final LeaderTracker leaderTracker;
  private final AdmissionGate admission;

  /** Creates an empty set with the default scheduling. */
  OpenJobs(LeaderTracker leaderTracker) {
    this(leaderTracker, SchedulingPolicy.DEFAULT);
  }

  /** Creates an empty set, whose jobs are sent to each leader that is found. */
  OpenJobs(LeaderTracker leaderTracker, SchedulingPolicy scheduling) {
    this.leaderTracker = leaderTracker;
    this.admission = new AdmissionGate(scheduling);
    leaderTracker.onLeaderFound(() -> List.copyOf(open.values()).forEach(this::send));
    leaderTracker.onDomainLeaderChange(this::domainLeaderChanged);
  }

  /** Returns how many jobs are open. */
  int count() {
    return open.size();
  }

  boolean isOpen(JobId id) {
    return open.containsKey(id);
  }

  /**
   * Takes in a job.
   *
   * @param caller is told of the end, once
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

  private static boolean isUnsent(OpenJob openJob) {
    return openJob.sentTerm == 0 && openJob.domainLeader == null;
  }

  /** Tells whether a job would be of no use even if the failure domain had its leader now. */
  private boolean cannotFinishInTime(OpenJob openJob) {
    return leaderTracker.isAwaitingDomainLeader()
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
    long spread = Math.floorMod(id.hashCode(), LeaderTracker.DEFAULT_RETRY_MILLIS);
    long retryAfterMillis =
        leaderTracker.retryAfterMillis(id, LeaderTracker.DEFAULT_RETRY_MILLIS + spread);
    return new Finished(id, JobOutcome.REFUSED, "the leader is overloaded", retryAfterMillis);
  }

  /** Hands a job to the leader, if there is one; it may be lost while jobs are handed to it. */
  private void send(OpenJob openJob) {
    LeaderChannel leader = leaderTracker.partitionLeader();
    if (openJob.domainLeader != null) {
      return;
    }
    if (leader != null) {
      sendToPartition(openJob, leader);
    } else if (openJob.sentTerm == 0 && leaderTracker.domainLeader() != null) {
      openJob.domainLeader = leaderTracker.domainLeader();
      openJob.domainLeader.send(submitMessage(openJob));
    }
  }

  private void sendToPartition(OpenJob openJob, LeaderChannel leader) {
    if (openJob.sentTerm != 0 && openJob.sentTerm != leader.term()) {
      openJob.generation++;
    }
    openJob.sentTerm = leader.term();
    leader.send(submitMessage(openJob));
  }

  private static Submit submitMessage(OpenJob openJob) {
    long now = EventLoop.now();
    return new Submit(
        openJob.job,
        openJob.requestClass,
        now - openJob.arrivedAt,
        openJob.deadline - now,
        openJob.generation);
  }

  /**
   * Takes in that the leader of the failure domain changed. What another leader has can't be
   * settled from here and is given up; what none has goes to the present one.
   */
  private void domainLeaderChanged() {
    LeaderChannel current = leaderTracker.domainLeader();
    for (OpenJob openJob : List.copyOf(open.values())) {
      boolean hasOtherLeader =
          openJob.domainLeader != null
              ? openJob.domainLeader != current
                  && !leaderTracker.isFormerDomainLeader(openJob.domainLeader)
              : openJob.sentTerm != 0;
      if (hasOtherLeader && (current != null || openJob.domainLeader != null)) {
        abandon(openJob, "its leader is cut off");
      } else {
        send(openJob);
      }
    }
  }

  private void abandon(OpenJob openJob, String reason) {
    withdraw(openJob);
    complete(openJob, new Finished(openJob.job.id(), JobOutcome.ABANDONED, reason, 0));
  }

  /** Cancels a job; tells whether it was open here. */
  boolean cancel(JobId id) {
    OpenJob openJob = open.get(id);
    if (openJob == null) {
      return false;
    }
    withdraw(openJob);
    complete(openJob, new Finished(id, JobOutcome.CANCELLED, "cancelled by its caller", 0));
    return true;
  }

  private void withdraw(OpenJob openJob) {
    LeaderChannel leader =
        openJob.domainLeader != null ? openJob.domainLeader : leaderTracker.partitionLeader();
    if (leader != null) {
      leader.send(new Withdraw(openJob.job.id()));
    }
  }

  /** Takes in the end of a job, told by the partition's leader in charge. */
  void finished(Finished result) {
    OpenJob openJob = open.get(result.job());
    if (openJob != null && openJob.domainLeader == null) {
      complete(openJob, result);
    }
  }

  /**
   * Takes in the end of a job, told by the leader of the failure domain. One that it refused, so
   * that it has not run, goes to the partition's leader if that is reached again.
   */
  void finishedByDomainLeader(Finished result) {
    OpenJob openJob = open.get(result.job());
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

  /** Takes in that a leader of the failure domain which hands over has not begun a job. */
  void releasedByDomainLeader(JobId id) {
    OpenJob openJob = open.get(id);
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

  /** Takes in what share of the new jobs the partition's leader can take, from 0 to 1. */
  void setAdmittedShare(double share) {
    admission.setShare(share);
  }

  /** Answers the jobs whose callers stop waiting, and those that no leader will be found for. */
  void tick() {
    long now = EventLoop.now();
    for (OpenJob openJob : List.copyOf(open.values())) {
      if (now > openJob.deadline + DEADLINE_GRACE_MICROS) {
        JobOutcome outcome = outcomeWithoutResult(openJob);
        withdraw(openJob);
        complete(openJob, new Finished(openJob.job.id(), outcome, "deadline passed", 0));
      } else if (isUnsent(openJob)
          && (!leaderTracker.isAnyLeaderExpected() || cannotFinishInTime(openJob))) {
        complete(openJob, unreachableResult(openJob.job.id()));
      }
    }
  }

  /** Gives up all open jobs, as the host stops. */
  void abandonAll() {
    for (OpenJob openJob : List.copyOf(open.values())) {
      complete(
          openJob,
          new Finished(openJob.job.id(), outcomeWithoutResult(openJob), "the host stops", 0));
    }
  }

  /** Returns what a caller is told of a job whose end was not heard. */
  private static JobOutcome outcomeWithoutResult(OpenJob openJob) {
    boolean wasSent = openJob.sentTerm != 0 || openJob.domainLeader != null;
    return wasSent ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
  }
}
