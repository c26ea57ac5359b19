package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.StepSpec;

/**
 * The order in which waiting jobs are allocated capacity. Jobs that can still meet their objective
 * with a safety margin come first, sorted by a time between their latest start and the end of the
 * objective. They are followed by late jobs, sorted by priority and then by the same time. A late
 * job whose caller group recently received half of its share is treated as one priority level
 * higher.
 *
 * <p>Without the safety margin, under overload each job would be started at the last moment and
 * miss its objective by the prediction error of its run time.
 *
 * <p>Confined to one thread.
 */
final class QueueOrder {

  /**
   * The firm deadline of a job, as a multiple of its objective. A result that arrives later is
   * useless to the caller.
   */
  static final int FIRM_DEADLINE_FACTOR = 3;

  private static final double MICROS_PER_MILLI = 1_000.0;

  /** The safety margin of a job, as a fraction of its remaining run time. */
  private static final double SAFETY_MARGIN_SHARE = 0.5;

  /**
   * The safety margin for placement by slack, which gives jobs with little slack the fast workers.
   * It equals the margin that {@link SlackCalculator} keeps for the usual prediction error, so that
   * a job that can still be placed to meet its objective is not queued behind late jobs.
   */
  private static final double SLACK_SAFETY_MARGIN_SHARE = 0.2;

  private static final double FIXED_MARGIN_MICROS = 10_000;

  /**
   * The minimum time between the start of a job and its deadline, as a multiple of its remaining
   * run time.
   */
  private static final double DEADLINE_FACTOR = 1.2;

  /** The time taken to store the start and the end of a durable job. */
  private static final double STORE_MICROS = 20_000;

  /**
   * The position of the sort time between the latest start (0) and the end of the objective (1).
   */
  private static final double SORT_TIME_SHARE = 0.5;

  private static final double LN_2 = Math.log(2);

  private final DurationModel durations;
  private final FairShareWeights weights;
  private final double marginShare;

  /**
   * Creates an order.
   *
   * @param weights the weights of caller groups, applied to late jobs
   * @param scheduling the scheduling policy, which determines the safety margin
   */
  QueueOrder(DurationModel durations, FairShareWeights weights, SchedulingPolicy scheduling) {
    boolean bySlack = scheduling.placement() == SchedulingPolicy.Placement.SLACK;
    this.durations = durations;
    this.weights = weights;
    this.marginShare = bySlack ? SLACK_SAFETY_MARGIN_SHARE : SAFETY_MARGIN_SHARE;
  }

  /**
   * The position of a job in the queue.
   *
   * @param late whether the job can no longer meet its objective or is displaced
   * @param level the priority of a late job, adjusted by the weight of its caller group
   * @param rank the sort key among late jobs of the same level, or among jobs that are not late, in
   *     ascending order
   */
  record Position(Job job, boolean late, double level, double rank)
      implements Comparable<Position> {

    @Override
    public int compareTo(Position other) {
      if (late != other.late) {
        return late ? 1 : -1;
      }
      int byLevel = late ? Double.compare(level, other.level) : 0;
      return byLevel != 0 ? byLevel : Double.compare(rank, other.rank);
    }
  }

  /** Returns the positions of jobs, in order. */
  List<Position> sort(Collection<Job> jobs, long now) {
    List<Position> positions = positionsOf(jobs, now);
    Collections.sort(positions);
    return positions;
  }

  private List<Position> positionsOf(Collection<Job> jobs, long now) {
    List<Position> positions = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      positions.add(positionOf(job, now));
    }
    return positions;
  }

  /** Returns the position of a job. */
  Position positionOf(Job job, long now) {
    double remainingMicros = criticalPathMicros(job, job.remainingCriticalPathMillis());
    double latestStart = job.arrivedAt + objectiveMicros(job) - remainingMicros;
    boolean late = latestStart - margin(job, remainingMicros, marginShare) < now;
    return new Position(
        job, late, late ? level(job, now) : 0, latestStart + SORT_TIME_SHARE * remainingMicros);
  }

  private double level(Job job, long now) {
    return job.requestClass().priority() - Math.log(weights.weight(job, now)) / LN_2;
  }

  private static double margin(Job job, double remainingMicros, double share) {
    return share * remainingMicros + FIXED_MARGIN_MICROS + (job.isDurable() ? STORE_MICROS : 0);
  }

  /**
   * Returns the latest start at which a job is planned to meet its objective. The full safety
   * margin is used with any placement: with a smaller one, jobs are displaced later and have waited
   * longer in vain.
   *
   * @param remainingMicros the remaining run time of the job
   */
  double latestStart(Job job, double remainingMicros) {
    double objectiveStart =
        job.arrivedAt
            + objectiveMicros(job)
            - remainingMicros
            - margin(job, remainingMicros, SAFETY_MARGIN_SHARE);
    return Math.min(objectiveStart, job.deadline - DEADLINE_FACTOR * remainingMicros);
  }

  /** Returns the objective of a job: the time after its arrival by which it should end. */
  double objectiveMicros(Job job) {
    return proportionalObjectiveMicros(job)
        + job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
  }

  /** Returns the part of the objective that is proportional to the work of the job. */
  double proportionalObjectiveMicros(Job job) {
    return job.requestClass().stretch() * criticalPathMicros(job, job.criticalPathMillis());
  }

  /** Returns whether a job that ends at the given time meets its objective. */
  boolean meetsObjective(Job job, long end) {
    return end <= job.arrivedAt + objectiveMicros(job);
  }

  /** Returns the predicted work of a whole job, in thousandths of a core times microseconds. */
  double totalWork(Job job) {
    long pathMillis = job.criticalPathMillis();
    return job.estimatedWork() * criticalPathMicros(job, pathMillis) / Math.max(1, pathMillis);
  }

  /**
   * Returns the predicted work of the tasks that are ready to start, in thousandths of a core times
   * microseconds.
   */
  double waitingWork(Job job) {
    double sum = 0;
    for (Task task : job.waitingTasks()) {
      sum += criticalPathMicros(job, task.spec().estimateMillis()) * task.spec().need().cpuMillis();
    }
    return sum;
  }

  /**
   * Returns the predicted work of all tasks of a job, in thousandths of a core times microseconds.
   */
  double predictedWork(JobDescription job, RequestClass requestClass) {
    double sum = 0;
    for (StepSpec step : job.steps()) {
      double micros = durations.predictMicros(requestClass.name(), step.estimateMillis());
      sum += micros * step.count() * step.need().cpuMillis();
    }
    return sum;
  }

  /** Returns the predicted remaining run time of a job that is started immediately. */
  double criticalPathMicros(Job job) {
    return criticalPathMicros(job, job.remainingCriticalPathMillis());
  }

  private double criticalPathMicros(Job job, long estimateMillis) {
    String name = job.requestClass().name();
    return durations.predictCalibratedMicros(name, estimateMillis) * job.biasFactor();
  }

  /** Returns the time after which the result of a job is useless to its caller. */
  double firmDeadline(Job job) {
    return Math.min(job.deadline, job.arrivedAt + FIRM_DEADLINE_FACTOR * objectiveMicros(job));
  }
}
