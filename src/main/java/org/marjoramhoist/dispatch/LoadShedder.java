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
  private static final int MOST_DISPLACED_FOR_ONE = 32;

  private static final Comparator<Candidate> LEAST_FIRST =
      Comparator.comparingDouble(Candidate::perWork);

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
  record Plan(List<QueueOrder.Place> queue, int displaced, List<Refusal> refused) {}

  /**
   * A waiting job with what decides on it.
   *
   * @param lastStart the last start at which it counts as in time
   * @param cpu its cores, in thousandths
   * @param heldMicros how long it is expected to hold them
   * @param value what it is worth in time
   * @param perWork the value divided by the work, times the weight of its callers
   */
  private record Candidate(
      Job job, double lastStart, double cpu, double heldMicros, double value, double perWork) {

    private boolean mustStay() {
      return job.started || job.isDurable();
    }
  }

  /** A candidate that is expected to hold cores until a time. */
  private record Planned(Candidate candidate, double until) {}

  /**
   * Decides on the waiting jobs of one upstream.
   *
   * @param jobs the waiting jobs
   * @param room the cores that become free for them; used up
   * @param speed how much predicted time passes while a run holds its cores for a time of 1
   * @param spare the share of the cores that jobs still to come are expected to leave
   */
  Plan plan(Collection<Job> jobs, RoomForecast room, double speed, double spare, long now) {
    List<Candidate> inTime = new ArrayList<>();
    List<Candidate> late = new ArrayList<>();
    for (Job job : jobs) {
      Candidate next = candidate(job, speed, now);
      (next.lastStart() < now ? late : inTime).add(next);
    }
    inTime.sort(Comparator.comparingDouble(Candidate::lastStart));
    List<QueueOrder.Place> line = new ArrayList<>();
    keepInTime(inTime, late, room, line);
    return planLate(late, room, spare, line, now);
  }

  private Candidate candidate(Job job, double speed, long now) {
    double chain = order.chainMicros(job);
    double whole = order.wholeWorkMicros(job);
    double work = Math.max(1, job.started ? order.waitingCpuMicros(job) : whole);
    double value = values.value(job, whole);
    double perWork = value * weights.weight(job, now) / work;
    return new Candidate(
        job, order.lastStart(job, chain), work / chain, chain / speed, value, perWork);
  }

  /**
   * Adds the jobs that are expected in time to the line, and the displaced ones to the late. Once
   * any job has to make way, the line is ordered by value per work, so that wrong predictions delay
   * the jobs of least value.
   */
  private static void keepInTime(
      List<Candidate> inTime,
      List<Candidate> late,
      RoomForecast room,
      List<QueueOrder.Place> line) {
    PriorityQueue<Planned> kept =
        new PriorityQueue<>(Comparator.comparing(Planned::candidate, LEAST_FIRST));
    for (Candidate next : inTime) {
      if (makeRoom(next, kept, late, room) || next.mustStay()) {
        double until = room.time() + next.heldMicros();
        room.take(next.cpu(), until);
        kept.add(new Planned(next, until));
      } else {
        late.add(next);
      }
    }
    List<Candidate> all = new ArrayList<>();
    kept.forEach(planned -> all.add(planned.candidate()));
    boolean allInTime = late.isEmpty();
    for (Candidate each : all) {
      double rank = allInTime ? each.lastStart() : -each.perWork();
      line.add(new QueueOrder.Place(each.job(), false, 0, rank));
    }
  }

  /** Displaces what is worth less than a job until it can start in time; tells whether it can. */
  private static boolean makeRoom(
      Candidate next, PriorityQueue<Planned> kept, List<Candidate> late, RoomForecast room) {
    List<Planned> displaced = new ArrayList<>();
    List<Planned> passedBy = new ArrayList<>();
    boolean fits = room.awaitFree(next.cpu(), next.lastStart());
    while (!fits && displaced.size() + passedBy.size() < MOST_DISPLACED_FOR_ONE) {
      Planned least = kept.peek();
      if (least == null || least.candidate().perWork() >= next.perWork()) {
        break;
      }
      kept.poll();
      boolean frees =
          !least.candidate().mustStay() && room.giveBack(least.candidate().cpu(), least.until());
      (frees ? displaced : passedBy).add(least);
      fits = room.free() >= next.cpu();
    }
    kept.addAll(passedBy);
    if (fits) {
      displaced.forEach(planned -> late.add(planned.candidate()));
    } else {
      displaced.forEach(planned -> room.take(planned.candidate().cpu(), planned.until()));
      kept.addAll(displaced);
    }
    return fits;
  }

  private Plan planLate(
      List<Candidate> late,
      RoomForecast room,
      double spare,
      List<QueueOrder.Place> line,
      long now) {
    late.sort(LEAST_FIRST.reversed());
    List<Refusal> refused = new ArrayList<>();
    int displaced = 0;
    for (Candidate next : late) {
      double latest = order.firmDeadline(next.job()) - next.heldMicros();
      boolean fits =
          values.lateIsOfUse() && room.awaitFree(next.cpu(), now + (latest - now) * spare);
      if (fits || next.mustStay()) {
        room.take(next.cpu(), room.time() + next.heldMicros());
        line.add(new QueueOrder.Place(next.job(), true, 0, -next.perWork()));
        displaced++;
      } else {
        long ahead = (long) room.time() - now;
        refused.add(new Refusal(next.job(), next.value(), ahead));
      }
    }
    return new Plan(line, displaced, refused);
  }
}
