package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Decides which waiting jobs to displace or refuse if not all of them can meet their objectives.
 *
 * <p>Jobs are planned in order of their latest start time, as in the Moore-Hodgson algorithm for
 * weighted jobs. If a job would start too late, the jobs planned so far that have the lowest value
 * per unit of work are displaced. Displaced jobs are queued behind the others in order of value per
 * unit of work, because each of them keeps the same fraction of its value if it ends late. Those
 * that can't end by their firm deadline are refused.
 *
 * <p>Invariant: started and durable jobs are never displaced or refused. Stateless; confined to one
 * thread.
 */
final class LoadShedder {

  /**
   * The maximum number of jobs that are displaced, or examined without being displaced, for one
   * job. It bounds the cost of a plan and exceeds the number of jobs with few cores that fit in the
   * capacity needed by a job with many.
   */
  private static final int MAX_DISPLACED_PER_JOB = 32;

  private static final Comparator<Candidate> BY_VALUE_DENSITY =
      Comparator.comparingDouble(Candidate::valueDensity);

  private final QueueOrder order;
  private final JobValues values;
  private final FairShareWeights weights;

  LoadShedder(QueueOrder order, JobValues values, FairShareWeights weights) {
    this.order = order;
    this.values = values;
    this.weights = weights;
  }

  /**
   * A job to be refused.
   *
   * @param value the value that the job would have had within its objective
   * @param aheadMicros the predicted wait caused by the jobs ahead of it
   */
  record Refusal(Job job, double value, long aheadMicros) {}

  /**
   * The decisions on the waiting jobs.
   *
   * @param queue the jobs that remain queued, unordered
   * @param displaced the number of queued jobs that are displaced by others
   * @param refused the jobs to be refused
   */
  record Plan(List<QueueOrder.Position> queue, int displaced, List<Refusal> refused) {}

  /**
   * A waiting job with the figures that the decision is based on.
   *
   * @param latestStart the latest start at which the job is expected to meet its objective
   * @param cpuMillis the cores of the job, in thousandths
   * @param occupancyMicros how long the job is expected to occupy the cores
   * @param value the value of the job if it meets its objective
   * @param valueDensity the value per unit of work, multiplied by the weight of the caller group
   */
  private record Candidate(
      Job job,
      double latestStart,
      double cpuMillis,
      double occupancyMicros,
      double value,
      double valueDensity) {

    private boolean isProtected() {
      return job.started || job.isDurable();
    }
  }

  /** A candidate for which cores are reserved until its expected end. */
  private record Reservation(Candidate candidate, double end) {}

  /**
   * Decides on the waiting jobs of one upstream.
   *
   * @param jobs the waiting jobs
   * @param capacity the capacity forecast for the upstream; modified
   * @param speed the predicted run time completed per unit of time in which a run occupies its
   *     cores
   * @param spareShare the fraction of the capacity that is expected to be left over by jobs that
   *     arrive later
   */
  Plan plan(
      Collection<Job> jobs, CapacityForecast capacity, double speed, double spareShare, long now) {
    List<Candidate> onTime = new ArrayList<>();
    List<Candidate> late = new ArrayList<>();
    for (Job job : jobs) {
      Candidate next = candidate(job, speed, now);
      (next.latestStart() < now ? late : onTime).add(next);
    }
    onTime.sort(Comparator.comparingDouble(Candidate::latestStart));
    List<QueueOrder.Position> queue = new ArrayList<>();
    planOnTime(onTime, late, capacity, queue);
    return planLate(late, capacity, spareShare, queue, now);
  }

  private Candidate candidate(Job job, double speed, long now) {
    double remainingMicros = order.criticalPathMicros(job);
    double totalWork = order.totalWork(job);
    double work = Math.max(1, job.started ? order.waitingWork(job) : totalWork);
    double value = values.value(job, totalWork);
    double valueDensity = value * weights.weight(job, now) / work;
    return new Candidate(
        job,
        order.latestStart(job, remainingMicros),
        work / remainingMicros,
        remainingMicros / speed,
        value,
        valueDensity);
  }

  /**
   * Adds the jobs that are expected to meet their objectives to the queue, and all others to the
   * late jobs. As soon as any job is late, the queue is ordered by value per unit of work, so that
   * prediction errors delay the least valuable jobs.
   */
  private static void planOnTime(
      List<Candidate> onTime,
      List<Candidate> late,
      CapacityForecast capacity,
      List<QueueOrder.Position> queue) {
    PriorityQueue<Reservation> planned =
        new PriorityQueue<>(Comparator.comparing(Reservation::candidate, BY_VALUE_DENSITY));
    for (Candidate next : onTime) {
      if (displaceFor(next, planned, late, capacity) || next.isProtected()) {
        double end = capacity.currentTime() + next.occupancyMicros();
        capacity.reserve(next.cpuMillis(), end);
        planned.add(new Reservation(next, end));
      } else {
        late.add(next);
      }
    }
    List<Candidate> queued = new ArrayList<>();
    planned.forEach(reservation -> queued.add(reservation.candidate()));
    boolean noneLate = late.isEmpty();
    for (Candidate each : queued) {
      double rank = noneLate ? each.latestStart() : -each.valueDensity();
      queue.add(new QueueOrder.Position(each.job(), false, 0, rank));
    }
  }

  /**
   * Displaces jobs of lower value density until the given job can start by its latest start time.
   *
   * @return whether it can start by then; if not, no job is displaced
   */
  private static boolean displaceFor(
      Candidate next,
      PriorityQueue<Reservation> planned,
      List<Candidate> late,
      CapacityForecast capacity) {
    List<Reservation> displaced = new ArrayList<>();
    List<Reservation> skipped = new ArrayList<>();
    boolean fits = capacity.advanceUntilFree(next.cpuMillis(), next.latestStart());
    while (!fits && displaced.size() + skipped.size() < MAX_DISPLACED_PER_JOB) {
      Reservation leastValuable = planned.peek();
      if (leastValuable == null
          || leastValuable.candidate().valueDensity() >= next.valueDensity()) {
        break;
      }
      planned.poll();
      boolean isCancelled =
          !leastValuable.candidate().isProtected()
              && capacity.cancelReservation(
                  leastValuable.candidate().cpuMillis(), leastValuable.end());
      (isCancelled ? displaced : skipped).add(leastValuable);
      fits = capacity.freeCpuMillis() >= next.cpuMillis();
    }
    planned.addAll(skipped);
    if (fits) {
      displaced.forEach(reservation -> late.add(reservation.candidate()));
    } else {
      displaced.forEach(
          reservation -> capacity.reserve(reservation.candidate().cpuMillis(), reservation.end()));
      planned.addAll(displaced);
    }
    return fits;
  }

  private Plan planLate(
      List<Candidate> late,
      CapacityForecast capacity,
      double spareShare,
      List<QueueOrder.Position> queue,
      long now) {
    late.sort(BY_VALUE_DENSITY.reversed());
    List<Refusal> refused = new ArrayList<>();
    int displaced = 0;
    for (Candidate next : late) {
      double latest = order.firmDeadline(next.job()) - next.occupancyMicros();
      boolean fits =
          values.hasLateValue()
              && capacity.advanceUntilFree(next.cpuMillis(), now + (latest - now) * spareShare);
      if (fits || next.isProtected()) {
        capacity.reserve(next.cpuMillis(), capacity.currentTime() + next.occupancyMicros());
        queue.add(new QueueOrder.Position(next.job(), true, 0, -next.valueDensity()));
        displaced++;
      } else {
        long aheadMicros = (long) capacity.currentTime() - now;
        refused.add(new Refusal(next.job(), next.value(), aheadMicros));
      }
    }
    return new Plan(queue, displaced, refused);
  }
}
