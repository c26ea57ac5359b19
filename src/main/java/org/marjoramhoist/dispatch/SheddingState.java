package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state that a leader keeps for load shedding: learned job values, offered load and service
 * rates, whether a new plan of the waiting jobs is due, and counters of shed jobs.
 *
 * <p>Confined to one thread.
 */
final class SheddingState {

  /** The learned state of one upstream. Confined to one thread. */
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
  private int displacedJobs;
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

  /** Records a new job. */
  void jobSubmitted(Job job, long now) {
    isDue = true;
    values.learn(job);
    if (!job.mayHaveEarlierRuns) {
      upstreamState(job).offeredLoad.add(order.totalWork(job), job.arrivedAt, now);
    }
  }

  /** Marks a new plan as due, because time has passed or the worker list was read. */
  void markDue() {
    isDue = true;
  }

  /** Returns whether a new plan is due, and clears the mark. */
  boolean pollDue() {
    boolean due = isDue;
    isDue = false;
    return due;
  }

  /** Records a successful run. */
  void runDone(Run run, Collection<Worker> workers, long now) {
    Job job = run.task.job;
    double predictedMicros =
        durations.predictMicros(job.requestClass().name(), run.task.spec().estimateMillis());
    double totalCpuMillis = CpuCapacity.of(workers, worker -> true).totalCpuMillis();
    upstreamState(job)
        .serviceRate
        .recordRun(predictedMicros, now - run.orderedAt, run.need.cpuMillis(), totalCpuMillis);
  }

  private UpstreamState upstreamState(Job job) {
    return upstreamState(job.requestClass().upstream());
  }

  private UpstreamState upstreamState(String upstream) {
    return upstreamStates.computeIfAbsent(upstream, name -> new UpstreamState());
  }

  /** Decides on the waiting jobs and returns the plan. */
  LoadShedder.Plan plan(Collection<Job> jobs, Collection<Worker> workers, long now) {
    Map<String, List<Job>> byUpstream = new HashMap<>();
    for (Job job : jobs) {
      byUpstream.computeIfAbsent(job.requestClass().upstream(), name -> new ArrayList<>()).add(job);
    }
    List<QueueOrder.Position> queue = new ArrayList<>();
    List<LoadShedder.Refusal> refused = new ArrayList<>();
    displacedJobs = 0;
    for (Map.Entry<String, List<Job>> entry : byUpstream.entrySet()) {
      LoadShedder.Plan plan = plan(entry.getKey(), entry.getValue(), workers, now);
      queue.addAll(plan.queue());
      refused.addAll(plan.refused());
      displacedJobs += plan.displaced();
    }
    Collections.sort(queue);
    return new LoadShedder.Plan(queue, displacedJobs, refused);
  }

  private LoadShedder.Plan plan(
      String upstream, List<Job> waiting, Collection<Worker> workers, long now) {
    UpstreamState state = upstreamState(upstream);
    CapacityForecast capacity =
        CapacityForecast.forUpstream(upstream, workers, state.serviceRate, now);
    if (!capacity.isKnown()) {
      return new LoadShedder.Plan(order.sort(waiting, now), 0, List.of());
    }
    double speed = state.serviceRate.speed();
    double predictedRate = capacity.usableCpuMillis() * state.serviceRate.maxUtilization() * speed;
    double spareShare = Math.max(0, 1 - state.offeredLoad.rate(now) / predictedRate);
    return shedder.plan(waiting, capacity, speed, spareShare, now);
  }

  /**
   * Records the utilization of an upstream after a job was left waiting although all usable
   * capacity was allocated.
   */
  void recordUtilization(Collection<Worker> workers, Job waiting, long now) {
    String upstream = waiting.requestClass().upstream();
    CpuCapacity usable =
        CpuCapacity.of(
            workers, worker -> worker.isUsable(now) && worker.info().upstream().equals(upstream));
    if (usable.totalCpuMillis() > 0) {
      upstreamState(upstream).serviceRate.recordUtilization(usable.utilization());
    }
  }

  /** Counts a shed job. */
  void recordRefusal(LoadShedder.Refusal refusal) {
    shedByClass.merge(
        refusal.job().requestClass().name(),
        new DispatchSnapshot.Shed(1, refusal.value()),
        DispatchSnapshot.Shed::plus);
  }

  /** Returns the jobs shed in this term, by the name of the request class. */
  Map<String, DispatchSnapshot.Shed> shedByClass() {
    return Map.copyOf(shedByClass);
  }

  /** Returns the number of jobs displaced by the last plan. */
  int displacedJobs() {
    return displacedJobs;
  }
}
