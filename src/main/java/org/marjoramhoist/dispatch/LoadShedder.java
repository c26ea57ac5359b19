package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Decides which waiting jobs make way when not all of them can be in time.
 *
 * <p>The jobs are gone through by their last start in time, as in the algorithm of Moore and
 * Hodgson for weighted jobs: where one would start later than that, the jobs up to there that are
 * worth least for their work are displaced. Displaced jobs wait behind the others by their value
 * per work, of which a late end earns each the same share, and are refused if they can't end in
 * time for that either.
 *
 * <p>Invariant: no started and no durable job is displaced or refused. Holds no state; confined to
 * one thread.
 */
final class LoadShedder {

  /**
   * The most jobs that are displaced, or looked at in vain, for one. It bounds the cost of a plan
   * and exceeds the number of narrow jobs in the room of a wide one.
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
   * A job that is refused.
   *
   * @param value what it would have been worth in time
   * @param aheadMicros how long the jobs before it were expected to keep it waiting
   */
  record Refusal(Job job, double value, long aheadMicros) {}

  /**
   * What becomes of the waiting jobs.
   *
   * @param queue those that wait on, unordered
   * @param displaced how many of those make way for others
   * @param refused those that are refused
   */
  record Plan(List<QueueOrder.Position> queue, int displaced, List<Refusal> refused) {}

  /**
   * A waiting job with what decides on it.
   *
   * @param latestStart the last start at which it counts as in time
   * @param cpuMillis its cores, in thousandths
   * @param occupancyMicros how long it is expected to hold them
   * @param value what it is worth in time
   * @param valueDensity the value divided by the work, times the weight of its callers
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

  /** A candidate that is expected to hold cores until a time. */
  private record Reservation(Candidate candidate, double end) {}

  /**
   * Decides on the waiting jobs of one upstream.
   *
   * @param jobs the waiting jobs
   * @param room the cores that become free for them; used up
   * @param speed how much predicted time passes while a run holds its cores for a time of 1
   * @param spare the share of the cores that jobs still to come are expected to leave
   */
  Plan plan(Collection<Job> jobs, CapacityForecast room, double speed, double spare, long now) {
    List<Candidate> inTime = new ArrayList<>();
    List<Candidate> late = new ArrayList<>();
    for (Job job : jobs) {
      Candidate next = candidate(job, speed, now);
      (next.latestStart() < now ? late : inTime).add(next);
    }
    inTime.sort(Comparator.comparingDouble(Candidate::latestStart));
    List<QueueOrder.Position> line = new ArrayList<>();
    planOnTime(inTime, late, room, line);
    return planLate(late, room, spare, line, now);
  }

  private Candidate candidate(Job job, double speed, long now) {
    double chain = order.criticalPathMicros(job);
    double whole = order.totalWork(job);
    double work = Math.max(1, job.started ? order.waitingCpuMicros(job) : whole);
    double value = values.value(job, whole);
    double perWork = value * weights.weight(job, now) / work;
    return new Candidate(
        job, order.latestStart(job, chain), work / chain, chain / speed, value, perWork);
  }

  /**
   * Adds the jobs that are expected in time to the line, and the displaced ones to the late. Once
   * any job has to make way, the line is ordered by value per work, so that wrong predictions delay
   * the jobs of least value.
   */
  private static void planOnTime(
      List<Candidate> inTime,
      List<Candidate> late,
      CapacityForecast room,
      List<QueueOrder.Position> line) {
    PriorityQueue<Reservation> kept =
        new PriorityQueue<>(Comparator.comparing(Reservation::candidate, BY_VALUE_DENSITY));
    for (Candidate next : inTime) {
      if (displaceFor(next, kept, late, room) || next.isProtected()) {
        double until = room.currentTime() + next.occupancyMicros();
        room.reserve(next.cpuMillis(), until);
        kept.add(new Reservation(next, until));
      } else {
        late.add(next);
      }
    }
    List<Candidate> all = new ArrayList<>();
    kept.forEach(planned -> all.add(planned.candidate()));
    boolean allInTime = late.isEmpty();
    for (Candidate each : all) {
      double rank = allInTime ? each.latestStart() : -each.valueDensity();
      line.add(new QueueOrder.Position(each.job(), false, 0, rank));
    }
  }

  /** Displaces what is worth less than a job until it can start in time; tells whether it can. */
  private static boolean displaceFor(
      Candidate next,
      PriorityQueue<Reservation> kept,
      List<Candidate> late,
      CapacityForecast room) {
    List<Reservation> displaced = new ArrayList<>();
    List<Reservation> passedBy = new ArrayList<>();
    boolean fits = room.advanceUntilFree(next.cpuMillis(), next.latestStart());
    while (!fits && displaced.size() + passedBy.size() < MAX_DISPLACED_PER_JOB) {
      Reservation least = kept.peek();
      if (least == null || least.candidate().valueDensity() >= next.valueDensity()) {
        break;
      }
      kept.poll();
      boolean frees =
          !least.candidate().isProtected()
              && room.cancelReservation(least.candidate().cpuMillis(), least.end());
      (frees ? displaced : passedBy).add(least);
      fits = room.freeCpuMillis() >= next.cpuMillis();
    }
    kept.addAll(passedBy);
    if (fits) {
      displaced.forEach(planned -> late.add(planned.candidate()));
    } else {
      displaced.forEach(planned -> room.reserve(planned.candidate().cpuMillis(), planned.end()));
      kept.addAll(displaced);
    }
    return fits;
  }

  private Plan planLate(
      List<Candidate> late,
      CapacityForecast room,
      double spare,
      List<QueueOrder.Position> line,
      long now) {
    late.sort(BY_VALUE_DENSITY.reversed());
    List<Refusal> refused = new ArrayList<>();
    int displaced = 0;
    for (Candidate next : late) {
      double latest = order.firmDeadline(next.job()) - next.occupancyMicros();
      boolean fits =
          values.hasLateValue()
              && room.advanceUntilFree(next.cpuMillis(), now + (latest - now) * spare);
      if (fits || next.isProtected()) {
        room.reserve(next.cpuMillis(), room.currentTime() + next.occupancyMicros());
        line.add(new QueueOrder.Position(next.job(), true, 0, -next.valueDensity()));
        displaced++;
      } else {
        long ahead = (long) room.currentTime() - now;
        refused.add(new Refusal(next.job(), next.value(), ahead));
      }
    }
    return new Plan(line, displaced, refused);
  }
}
