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
  private final RecentEnds recent = new RecentEnds();
  private final LeaderTracker reach;
  private final IntakeGate intake;

  /** Creates an empty set with the default scheduling. */
  OpenJobs(LeaderTracker reach) {
    this(reach, SchedulingPolicy.DEFAULT);
  }

  /** Creates an empty set, whose jobs are sent to each leader that is found. */
  OpenJobs(LeaderTracker reach, SchedulingPolicy scheduling) {
    this.reach = reach;
    this.intake = new IntakeGate(scheduling);
    reach.onLeaderFound(() -> List.copyOf(open.values()).forEach(this::send));
    reach.onDomainLeaderChange(this::domainLeaderChanged);
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
    OpenJob known = open.get(job.id());
    if (known != null) {
      known.callers.add(caller);
      known.deadline = Math.max(known.deadline, deadline);
      return;
    }
    Finished before = recent.finalEnd(job.id(), arrivedAt);
    if (before != null) {
      caller.accept(before);
      return;
    }
    OpenJob entry = new OpenJob(job, requestClass, arrivedAt, deadline);
    entry.callers.add(caller);
    if (!reach.isAnyLeaderExpected() || isHopeless(entry)) {
      answer(entry, notSent(job.id()));
      return;
    }
    if (reach.partitionLeader() != null && !intake.admits(job, requestClass, EventLoop.now())) {
      answer(entry, notAdmitted(job.id()));
      return;
    }
    open.put(job.id(), entry);
    send(entry);
  }

  private static boolean isUnsent(OpenJob entry) {
    return entry.sentTerm == 0 && entry.domainLeader == null;
  }

  /** Tells whether a job would be of no use even if the failure domain had its leader now. */
  private boolean isHopeless(OpenJob entry) {
    return reach.isAwaitingDomainLeader()
        && !JobTimeLimits.canFinishInTime(
            entry.job, entry.requestClass, entry.arrivedAt, entry.deadline, EventLoop.now());
  }

  private Finished notSent(JobId id) {
    long retry = reach.retryAfterMillis(id, LeaderTracker.DEFAULT_RETRY_MILLIS);
    return new Finished(id, JobOutcome.REFUSED, "no leader is reached", retry);
  }

  private Finished notAdmitted(JobId id) {
    long spread = Math.floorMod(id.hashCode(), LeaderTracker.DEFAULT_RETRY_MILLIS);
    long retry = reach.retryAfterMillis(id, LeaderTracker.DEFAULT_RETRY_MILLIS + spread);
    return new Finished(id, JobOutcome.REFUSED, "the leader is overloaded", retry);
  }

  /** Hands a job to the leader, if there is one; it may be lost while jobs are handed to it. */
  private void send(OpenJob entry) {
    LeaderChannel leader = reach.partitionLeader();
    if (entry.domainLeader != null) {
      return;
    }
    if (leader != null) {
      sendToPartition(entry, leader);
    } else if (entry.sentTerm == 0 && reach.domainLeader() != null) {
      entry.domainLeader = reach.domainLeader();
      entry.domainLeader.send(messageOf(entry));
    }
  }

  private void sendToPartition(OpenJob entry, LeaderChannel leader) {
    if (entry.sentTerm != 0 && entry.sentTerm != leader.term()) {
      entry.generation++;
    }
    entry.sentTerm = leader.term();
    leader.send(messageOf(entry));
  }

  private static Submit messageOf(OpenJob entry) {
    long now = EventLoop.now();
    return new Submit(
        entry.job,
        entry.requestClass,
        now - entry.arrivedAt,
        entry.deadline - now,
        entry.generation);
  }

  /**
   * Takes in that the leader of the failure domain changed. What another leader has can't be
   * settled from here and is given up; what none has goes to the present one.
   */
  private void domainLeaderChanged() {
    LeaderChannel present = reach.domainLeader();
    for (OpenJob entry : List.copyOf(open.values())) {
      boolean elsewhere =
          entry.domainLeader != null
              ? entry.domainLeader != present && !reach.isFormerDomainLeader(entry.domainLeader)
              : entry.sentTerm != 0;
      if (elsewhere && (present != null || entry.domainLeader != null)) {
        giveUp(entry, "its leader is cut off");
      } else {
        send(entry);
      }
    }
  }

  private void giveUp(OpenJob entry, String reason) {
    withdraw(entry);
    answer(entry, new Finished(entry.job.id(), JobOutcome.ABANDONED, reason, 0));
  }

  /** Cancels a job; tells whether it was open here. */
  boolean cancel(JobId id) {
    OpenJob entry = open.get(id);
    if (entry == null) {
      return false;
    }
    withdraw(entry);
    answer(entry, new Finished(id, JobOutcome.CANCELLED, "cancelled by its caller", 0));
    return true;
  }

  private void withdraw(OpenJob entry) {
    LeaderChannel leader =
        entry.domainLeader != null ? entry.domainLeader : reach.partitionLeader();
    if (leader != null) {
      leader.send(new Withdraw(entry.job.id()));
    }
  }

  /** Takes in the end of a job, told by the partition's leader in charge. */
  void finished(Finished end) {
    OpenJob entry = open.get(end.job());
    if (entry != null && entry.domainLeader == null) {
      answer(entry, end);
    }
  }

  /**
   * Takes in the end of a job, told by the leader of the failure domain. One that it refused, so
   * that it has not run, goes to the partition's leader if that is reached again.
   */
  void finishedByDomainLeader(Finished end) {
    OpenJob entry = open.get(end.job());
    if (entry == null || entry.domainLeader == null) {
      return;
    }
    if (end.outcome() == JobOutcome.REFUSED && reach.partitionLeader() != null) {
      entry.domainLeader = null;
      send(entry);
    } else {
      answer(entry, end);
    }
  }

  /** Takes in that a leader of the failure domain which hands over has not begun a job. */
  void releasedByDomainLeader(JobId id) {
    OpenJob entry = open.get(id);
    if (entry != null && entry.domainLeader != null) {
      entry.domainLeader = null;
      send(entry);
    }
  }

  private void answer(OpenJob entry, Finished end) {
    open.remove(entry.job.id());
    Finished told = recent.honest(end, EventLoop.now());
    recent.add(told, EventLoop.now());
    for (Consumer<Finished> caller : entry.callers) {
      caller.accept(told);
    }
  }

  /** Takes in what share of the new jobs the partition's leader can take, from 0 to 1. */
  void setAdmittedShare(double share) {
    intake.setShare(share);
  }

  /** Answers the jobs whose callers stop waiting, and those that no leader will be found for. */
  void tick() {
    long now = EventLoop.now();
    for (OpenJob entry : List.copyOf(open.values())) {
      if (now > entry.deadline + DEADLINE_GRACE_MICROS) {
        JobOutcome outcome = outcomeUnheard(entry);
        withdraw(entry);
        answer(entry, new Finished(entry.job.id(), outcome, "deadline passed", 0));
      } else if (isUnsent(entry) && (!reach.isAnyLeaderExpected() || isHopeless(entry))) {
        answer(entry, notSent(entry.job.id()));
      }
    }
  }

  /** Gives up all open jobs, as the host stops. */
  void abandonAll() {
    for (OpenJob entry : List.copyOf(open.values())) {
      answer(entry, new Finished(entry.job.id(), outcomeUnheard(entry), "the host stops", 0));
    }
  }

  /** Returns what a caller is told of a job whose end was not heard. */
  private static JobOutcome outcomeUnheard(OpenJob entry) {
    boolean handedOn = entry.sentTerm != 0 || entry.domainLeader != null;
    return handedOn ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
  }
}
