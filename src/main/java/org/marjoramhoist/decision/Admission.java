package org.marjoramhoist.decision;

import java.util.List;
import java.util.Optional;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.RunState;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.resource.ClassSpec;
import org.marjoramhoist.resource.TeamSpec;

/**
 * Decides whether a job is taken, from the declarations, the team's quota and the predicted wait.
 *
 * <p>It is asked only while nobody else can start the job, so each refusal truly means that the job
 * did not run. Confined to one thread.
 */
final class Admission {

  private static final long MIN_RETRY_MICROS = 50 * Policy.MICROS_PER_MILLI;

  private final Policy policy;
  private final Configuration config;
  private final TeamUsage usage;
  private final SlotLending lending;

  Admission(Policy policy, Configuration config, TeamUsage usage, SlotLending lending) {
    this.policy = policy;
    this.config = config;
    this.usage = usage;
    this.lending = lending;
  }

  /** Returns the refusal of the job; empty if it is taken. */
  Optional<JobAnswer> check(long now, JobSpec job, UpstreamState upstream) {
    TeamSpec team = config.team(job.team());
    ClassSpec requestClass = config.requestClass(job.classId());
    if (team == null) {
      return refuse(job, ErrorKind.UNDECLARED, "team " + job.team() + " is not declared");
    }
    if (requestClass == null) {
      return refuse(job, ErrorKind.UNDECLARED, "class " + job.classId() + " is not declared");
    }
    if (!requestClass.allows(job.team())) {
      return refuse(
          job, ErrorKind.FORBIDDEN, "team " + job.team() + " may not use " + job.classId());
    }
    if (upstream == null) {
      return refuse(
          job, ErrorKind.UNDECLARED, "upstream " + requestClass.upstream() + " is not declared");
    }
    if (!upstream.pool().canEverRun(requestClass.needs())) {
      return refuse(job, ErrorKind.UNSATISFIABLE, "no worker has " + requestClass.needs());
    }
    return checkLoad(now, job, team, requestClass, upstream);
  }

  private Optional<JobAnswer> checkLoad(
      long now, JobSpec job, TeamSpec team, ClassSpec requestClass, UpstreamState upstream) {
    int tasks = job.tasks().size();
    double work = expectedWork(job, requestClass, upstream);
    int slots = Math.max(1, upstream.pool().lastingSlots() + lending.knownFree(upstream.id()));
    double wait = upstream.queue().workBefore(now, job.team(), upstream.queuedWork()) / slots;
    long retryAt = now + Math.max(MIN_RETRY_MICROS, (long) (wait / 2));
    if (usage.total(job.team()) + tasks > team.quotaTasks()) {
      String detail = "quota of " + team.quotaTasks() + " tasks is used up";
      return refuse(job, ErrorKind.QUOTA_EXCEEDED, detail, retryAt);
    }
    if (usage.all() + tasks > policy.maxQueuedTasks()) {
      return refuse(job, ErrorKind.OVERLOADED, "the queue is full", retryAt);
    }
    double each = work / tasks;
    double stretch = upstream.queue().stretch(now, job.team());
    double last = Math.max(each, stretch * work / slots);
    long excess = (long) (now + wait + last) - job.deadlineMillis() * Policy.MICROS_PER_MILLI;
    if (excess > 0) {
      String detail = "the job would end about " + excess / Policy.MICROS_PER_MILLI + " ms late";
      return refuse(job, ErrorKind.DEADLINE_UNREACHABLE, detail, Math.max(retryAt, now + excess));
    }
    return Optional.empty();
  }

  /** Returns the expected worker time of a job, in microseconds. */
  static double expectedWork(JobSpec job, ClassSpec requestClass, UpstreamState upstream) {
    double work = 0;
    for (TaskSpec task : job.tasks()) {
      work += expected(task, requestClass, upstream);
    }
    return work;
  }

  /** Returns the expected run time of a task on a worker of factor 1, in microseconds. */
  static double expected(TaskSpec task, ClassSpec requestClass, UpstreamState upstream) {
    return upstream
        .runTimes()
        .expected(
            requestClass.id(),
            task.declaredMillis() * Policy.MICROS_PER_MILLI,
            requestClass.expectedMillis() * Policy.MICROS_PER_MILLI);
  }

  private static Optional<JobAnswer> refuse(JobSpec job, ErrorKind kind, String detail) {
    return refuse(job, kind, detail, 0);
  }

  private static Optional<JobAnswer> refuse(
      JobSpec job, ErrorKind kind, String detail, long retryAtMicros) {
    return Optional.of(
        new JobAnswer(
            job.id(),
            List.of(),
            kind,
            RunState.NOT_RUN,
            detail,
            retryAtMicros / Policy.MICROS_PER_MILLI));
  }
}
