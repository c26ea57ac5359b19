package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state that a leader keeps for load shedding: what it has learned of values, offered work and
 * service rates, whether the waiting jobs are due to be planned again, and what was shed.
 *
 * <p>Confined to one thread.
 */
final class SheddingState {

  /** What is known of one upstream. Confined to one thread. */
  private static final class UpstreamState {
    private final ServiceRate serviceRate = new ServiceRate();
    private final OfferedLoad offeredLoad = new OfferedLoad();
  }

  private final DurationModel durations;
  private final QueueOrder order;
  private final JobValues values;
  private final LoadShedder shedder;
  private final Map<String, UpstreamState> upstreamStates = new HashMap<>();
  private final Map<String, DispatchSnapshot.Shed> shedByClass = new TreeMap<>();
  private int displaced;
  private boolean isDue;

  SheddingState(
      SchedulingPolicy policy,
      DurationModel durations,
      QueueOrder order,
      FairShareWeights weights) {
    this.durations = durations;
    this.order = order;
    this.values = new JobValues(policy, order::totalWork);
    this.shedder = new LoadShedder(order, values, weights);
  }

  /** Takes in a new job. */
  void jobSubmitted(Job job, long now) {
    isDue = true;
    values.learn(job);
    if (!job.mayHaveEarlierRuns) {
      upstreamState(job).offeredLoad.add(order.totalWork(job), now);
    }
  }

  /** Takes in that time has passed, or that workers were listed. */
  void markDue() {
    isDue = true;
  }

  /** Tells whether the waiting jobs are to be looked at, which is then taken as done. */
  boolean pollDue() {
    boolean due = isDue;
    isDue = false;
    return due;
  }

  /** Takes in a run that was done. */
  void runDone(Run run, Collection<Worker> workers, long now) {
    Job job = run.task.job;
    double predicted =
        durations.predictMicros(job.requestClass().name(), run.task.spec().estimateMillis());
    double total = CpuCapacity.of(workers, worker -> true).totalCpuMillis();
    upstreamState(job)
        .serviceRate
        .recordRun(predicted, now - run.orderedAt, run.need.cpuMillis(), total);
  }

  private UpstreamState upstreamState(Job job) {
    return upstreamState(job.requestClass().upstream());
  }

  private UpstreamState upstreamState(String upstream) {
    return upstreamStates.computeIfAbsent(upstream, name -> new UpstreamState());
  }

  /** Decides on the waiting jobs. */
  LoadShedder.Plan plan(Collection<Job> jobs, Collection<Worker> workers, long now) {
    Map<String, List<Job>> byUpstream = new HashMap<>();
    for (Job job : jobs) {
      byUpstream.computeIfAbsent(job.requestClass().upstream(), name -> new ArrayList<>()).add(job);
    }
    List<QueueOrder.Position> line = new ArrayList<>();
    List<LoadShedder.Refusal> refused = new ArrayList<>();
    displaced = 0;
    for (Map.Entry<String, List<Job>> each : byUpstream.entrySet()) {
      LoadShedder.Plan plan = plan(each.getKey(), each.getValue(), workers, now);
      line.addAll(plan.queue());
      refused.addAll(plan.refused());
      displaced += plan.displaced();
    }
    Collections.sort(line);
    return new LoadShedder.Plan(line, displaced, refused);
  }

  private LoadShedder.Plan plan(
      String upstream, List<Job> waiting, Collection<Worker> workers, long now) {
    UpstreamState pool = upstreamState(upstream);
    CapacityForecast room = CapacityForecast.forUpstream(upstream, workers, pool.serviceRate, now);
    if (!room.isKnown()) {
      return new LoadShedder.Plan(order.sort(waiting, now), 0, List.of());
    }
    double speed = pool.serviceRate.speed();
    double capacity = room.usableCpuMillis() * pool.serviceRate.maxUtilization() * speed;
    double spare = Math.max(0, 1 - pool.offeredLoad.rate(now) / capacity);
    return shedder.plan(waiting, room, speed, spare, now);
  }

  /** Takes in that a job waits though all room was given out. */
  void recordUtilization(Collection<Worker> workers, Job waiting, long now) {
    String upstream = waiting.requestClass().upstream();
    CpuCapacity usable =
        CpuCapacity.of(
            workers, worker -> worker.isUsable(now) && worker.info().upstream().equals(upstream));
    if (usable.totalCpuMillis() > 0) {
      upstreamState(upstream).serviceRate.recordUtilization(usable.utilization());
    }
  }

  /** Counts a refused job. */
  void recordRefusal(LoadShedder.Refusal refusal) {
    shedByClass.merge(
        refusal.job().requestClass().name(),
        new DispatchSnapshot.Shed(1, refusal.value()),
        DispatchSnapshot.Shed::plus);
  }

  /** Returns what was shed in this term by the name of the class. */
  Map<String, DispatchSnapshot.Shed> shedByClass() {
    return Map.copyOf(shedByClass);
  }

  /** Returns how many jobs made way for others when that was last decided. */
  int displacedJobs() {
    return displaced;
  }
}
