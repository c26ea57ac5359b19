package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.StepSpec;

/**
 * The order in which waiting jobs get room: those that can still meet their objective with some
 * margin first, by a time between the latest start and the end of the objective; then the others,
 * by priority and that time. A late job whose group of callers lately got half of its share counts
 * as one priority higher.
 *
 * <p>Without the margin, under overload each job would get its room at the last moment and miss its
 * objective by what run times differ from their predictions.
 *
 * <p>Confined to one thread.
 */
final class QueueOrder {

  /** After this multiple of its objective the end of a job is of no use to its caller. */
  static final int FIRM_DEADLINE_FACTOR = 3;

  private static final double MICROS_PER_MILLI = 1_000.0;

  /** The margin of a job that counts as in time, as a share of what it has still to run. */
  private static final double SAFETY_MARGIN_SHARE = 0.5;

  /**
   * The same where workers are chosen by slack, which gives jobs short of time the fast workers. It
   * is what {@link SlackCalculator} keeps for the usual error of predictions, so that a job that
   * can be placed in time is not put behind those that can't.
   */
  private static final double SLACK_SAFETY_MARGIN_SHARE = 0.2;

  private static final double MESSAGING_MICROS = 10_000;

  /** How much of its run time a job must have left before its deadline when it starts. */
  private static final double DEADLINE_FACTOR = 1.2;

  /** What storing the start and the end of a durable job takes, in microseconds. */
  private static final double STORE_MICROS = 20_000;

  /** How far the order lies between the latest start and the end of the objective. */
  private static final double SORT_TIME_SHARE = 0.5;

  private static final double LN_2 = Math.log(2);

  private final DurationModel durations;
  private final FairShareWeights weights;
  private final double marginShare;

  /**
   * Creates an order.
   *
   * @param weights by how much groups of callers are preferred among late jobs
   * @param scheduling says what margin jobs need
   */
  QueueOrder(DurationModel durations, FairShareWeights weights, SchedulingPolicy scheduling) {
    boolean bySlack = scheduling.placement() == SchedulingPolicy.Placement.SLACK;
    this.durations = durations;
    this.weights = weights;
    this.marginShare = bySlack ? SLACK_SAFETY_MARGIN_SHARE : SAFETY_MARGIN_SHARE;
  }

  /**
   * A job's place.
   *
   * @param late whether it can't be in time any more, or makes way for jobs that can
   * @param level its priority among those that are late, less what the weight of its group adds
   * @param rank its place among those of its level, or among those in time; the least first
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

  /** Returns the places of jobs in their order. */
  List<Position> sort(Collection<Job> jobs, long now) {
    List<Position> places = positionsOf(jobs, now);
    Collections.sort(places);
    return places;
  }

  private List<Position> positionsOf(Collection<Job> jobs, long now) {
    List<Position> places = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      places.add(positionOf(job, now));
    }
    return places;
  }

  /** Returns the place of a job. */
  Position positionOf(Job job, long now) {
    double left = criticalPathMicros(job, job.remainingCriticalPathMillis());
    double latest = job.arrivedAt + objectiveMicros(job) - left;
    boolean late = latest - margin(job, left, marginShare) < now;
    return new Position(job, late, late ? level(job, now) : 0, latest + SORT_TIME_SHARE * left);
  }

  private double level(Job job, long now) {
    return job.requestClass().priority() - Math.log(weights.weight(job, now)) / LN_2;
  }

  private static double margin(Job job, double left, double share) {
    return share * left + MESSAGING_MICROS + (job.isDurable() ? STORE_MICROS : 0);
  }

  /**
   * Returns the last start at which a job is planned to be in time. It has the full margin however
   * workers are chosen: with less, jobs are displaced later, after a longer wait in vain.
   *
   * @param left how long the rest of it takes
   */
  double latestStart(Job job, double left) {
    double inTime =
        job.arrivedAt + objectiveMicros(job) - left - margin(job, left, SAFETY_MARGIN_SHARE);
    return Math.min(inTime, job.deadline - DEADLINE_FACTOR * left);
  }

  /** Returns how long a job may take within its objective. */
  double objectiveMicros(Job job) {
    return proportionalObjectiveMicros(job)
        + job.requestClass().objectiveMillis() * MICROS_PER_MILLI;
  }

  /** Returns the part of a job's objective that grows with its work. */
  double proportionalObjectiveMicros(Job job) {
    return job.requestClass().stretch() * criticalPathMicros(job, job.criticalPathMillis());
  }

  /** Tells whether a time is within a job's objective. */
  boolean meetsObjective(Job job, long at) {
    return at <= job.arrivedAt + objectiveMicros(job);
  }

  /** Returns the predicted processor time that a whole job needs, times its cores. */
  double totalWork(Job job) {
    long longest = job.criticalPathMillis();
    return job.estimatedWork() * criticalPathMicros(job, longest) / Math.max(1, longest);
  }

  /** Returns the processor time that the tasks need that may start now, times their cores. */
  double waitingCpuMicros(Job job) {
    double sum = 0;
    for (Task task : job.waitingTasks()) {
      sum += criticalPathMicros(job, task.spec().estimateMillis()) * task.spec().need().cpuMillis();
    }
    return sum;
  }

  /** Returns the processor time that all tasks of a job need, times their cores. */
  double predictedWork(JobDescription job, RequestClass requestClass) {
    double sum = 0;
    for (StepSpec step : job.steps()) {
      double micros = durations.predictMicros(requestClass.name(), step.estimateMillis());
      sum += micros * step.count() * step.need().cpuMillis();
    }
    return sum;
  }

  /** Returns how long a job takes that finds room at once. */
  double criticalPathMicros(Job job) {
    return criticalPathMicros(job, job.remainingCriticalPathMillis());
  }

  private double criticalPathMicros(Job job, long estimateMillis) {
    String name = job.requestClass().name();
    return durations.predictCalibratedMicros(name, estimateMillis) * job.biasFactor();
  }

  /** Returns when a job's end stops being of use. */
  double firmDeadline(Job job) {
    return Math.min(job.deadline, job.arrivedAt + FIRM_DEADLINE_FACTOR * objectiveMicros(job));
  }
}
