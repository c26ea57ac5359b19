package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a leader has learned for shedding load, and when it looks at the waiting jobs.
 *
 * <p>Confined to one thread.
 */
final class Shedding {

  /** What is known of one upstream. Confined to one thread. */
  private static final class Pool {
    private final ServiceRate rate = new ServiceRate();
    private final OfferedWork offered = new OfferedWork();
  }

  private final DurationModel durations;
  private final WaitingOrder order;
  private final JobValues values;
  private final LoadShedder shedder;
  private final Map<String, Pool> pools = new HashMap<>();
  private final Map<String, DispatchSnapshot.Shed> shed = new TreeMap<>();
  private int displaced;
  private boolean isDue;

  Shedding(
      SchedulingPolicy policy, DurationModel durations, WaitingOrder order, GroupWeights weights) {
    this.durations = durations;
    this.order = order;
    this.values = new JobValues(policy, order::wholeWorkMicros);
    this.shedder = new LoadShedder(order, values, weights);
  }

  /** Takes in a new job. */
  void submitted(Job job, long now) {
    isDue = true;
    values.learn(job);
    if (!job.resumed) {
      pool(job).offered.add(order.wholeWorkMicros(job), now);
    }
  }

  /** Takes in that time has passed, or that workers were listed. */
  void ticked() {
    isDue = true;
  }

  /** Tells whether the waiting jobs are to be looked at, which is then taken as done. */
  boolean takeDue() {
    boolean due = isDue;
    isDue = false;
    return due;
  }

  /** Takes in a run that was done. */
  void runDone(Run run, Collection<Worker> workers, long now) {
    Job job = run.task.job;
    double predicted =
        durations.predictMicros(job.requestClass().name(), run.task.spec().estimateMillis());
    double total = 0;
    for (Worker worker : workers) {
      total += worker.info().capacity().cpuMillis();
    }
    pool(job).rate.runDone(predicted, now - run.orderedAt, run.need.cpuMillis(), total);
  }

  private Pool pool(Job job) {
    return pool(job.requestClass().upstream());
  }

  private Pool pool(String upstream) {
    return pools.computeIfAbsent(upstream, name -> new Pool());
  }

  /** Decides on the waiting jobs. */
  LoadShedder.Plan plan(Collection<Job> jobs, Collection<Worker> workers, long now) {
    Map<String, List<Job>> byUpstream = new HashMap<>();
    for (Job job : jobs) {
      byUpstream.computeIfAbsent(job.requestClass().upstream(), name -> new ArrayList<>()).add(job);
    }
    List<WaitingOrder.Place> line = new ArrayList<>();
    List<LoadShedder.Refusal> refused = new ArrayList<>();
    displaced = 0;
    for (Map.Entry<String, List<Job>> each : byUpstream.entrySet()) {
      LoadShedder.Plan plan = plan(each.getKey(), each.getValue(), workers, now);
      line.addAll(plan.line());
      refused.addAll(plan.refused());
      displaced += plan.displaced();
    }
    Collections.sort(line);
    return new LoadShedder.Plan(line, displaced, refused);
  }

  private LoadShedder.Plan plan(
      String upstream, List<Job> waiting, Collection<Worker> workers, long now) {
    Pool pool = pool(upstream);
    RoomForecast room = RoomForecast.of(upstream, workers, pool.rate, now);
    if (!room.isKnown()) {
      return new LoadShedder.Plan(order.places(waiting, now), 0, List.of());
    }
    double speed = pool.rate.speed();
    double capacity = room.usableCpu() * pool.rate.packing() * speed;
    double spare = Math.max(0, 1 - pool.offered.rate(now) / capacity);
    return shedder.plan(waiting, room, speed, spare, now);
  }

  /** Takes in that a job waits though all room was given out. */
  void roomGivenOut(Collection<Worker> workers, Job waiting, long now) {
    String upstream = waiting.requestClass().upstream();
    double total = 0;
    double free = 0;
    for (Worker worker : workers) {
      if (worker.isUsable(now) && worker.info().upstream().equals(upstream)) {
        total += worker.info().capacity().cpuMillis();
        free += worker.free.cpuMillis();
      }
    }
    if (total > 0) {
      pool(upstream).rate.observePacking(1 - free / total);
    }
  }

  /** Counts a refused job. */
  void refused(LoadShedder.Refusal refusal) {
    shed.merge(
        refusal.job().requestClass().name(),
        new DispatchSnapshot.Shed(1, refusal.value()),
        DispatchSnapshot.Shed::plus);
  }

  /** Returns what was shed in this term by the name of the class. */
  Map<String, DispatchSnapshot.Shed> shedByClass() {
    return Map.copyOf(shed);
  }

  /** Returns how many jobs made way for others when that was last decided. */
  int displaced() {
    return displaced;
  }
}
