package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** No job is refused while free capacity is left that could serve it in time. */
class RefusalCapacityTest extends DispatcherFixture {

  private static final List<String> WORKERS = List.of("u", "v", "w");
  private static final long WORKER_CPU_MILLIS = 4_000;
  private static final long ESTIMATE_MILLIS = 50;

  /** The age at which a job is sure to be in time, whatever the learned run time. */
  private static final long MAX_AGE_MILLIS = 150;

  private record Submitted(long arrivedAt, int tasks, long cpuMillis) {}

  private record Active(String worker, long cpuMillis, long endsAt) {}

  private final Map<JobId, Submitted> submitted = new HashMap<>();
  private final Map<RunRef, Active> active = new HashMap<>();
  private final Map<String, Long> lastCompletions = new HashMap<>();
  private SplittableRandom random;
  private int refusals;

  private void beginTermWithShedding() {
    policy =
        POLICY.withScheduling(
            new SchedulingPolicy(
                SchedulingPolicy.Placement.SLACK,
                SchedulingPolicy.Overload.SHED,
                false,
                Map.of(0, 3.0, 1, 1.0),
                SchedulingPolicy.DEFAULT_LATE_VALUE));
    beginTerm(now);
    listWorkers(
        WORKERS.stream()
            .map(id -> worker(id, WORKER_CPU_MILLIS, false))
            .toArray(WorkerInfo[]::new));
    WORKERS.forEach(id -> report(id, List.of()));
    actions.clear();
  }

  private void submitRandomJob() {
    int tasks = 1 + random.nextInt(3);
    long cpuMillis = random.nextBoolean() ? 1_000 : 3_000;
    int priority = random.nextInt(2);
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", submitted.size() + 1));
    StepSpec step =
        new StepSpec(tasks, new Resources(cpuMillis, 1, 0), ESTIMATE_MILLIS, List.of(), "", "", 0);
    RequestClass requestClass =
        new RequestClass("p" + priority, "h", "/p/", "reviews", priority, 3, 1.6, 60, false);
    submitted.put(id, new Submitted(now, tasks, cpuMillis));
    JobDescription job = new JobDescription(id, "p", List.of(step), Set.of());
    step(
        0,
        new DispatchEvent.JobSubmitted(
            job, requestClass, "e", now, now + 1_500 * MICROS_PER_MILLI, 0));
    check();
  }

  private void completeRuns() {
    for (RunRef run : Set.copyOf(active.keySet())) {
      Active each = active.get(run);
      if (each.endsAt() <= now) {
        active.remove(run);
        long sequence = lastCompletions.merge(each.worker(), 1L, Long::sum);
        report(
            each.worker(),
            activeRunsOn(each.worker()),
            new WorkerReport.Completion(sequence, run, WorkerReport.RunOutcome.DONE));
        check();
      }
    }
  }

  private List<WorkerReport.ActiveRun> activeRunsOn(String worker) {
    return active.entrySet().stream()
        .filter(each -> each.getValue().worker().equals(worker))
        .map(each -> new WorkerReport.ActiveRun(each.getKey(), 50))
        .toList();
  }

  /** Carries out the starts of the last step, and checks its refusals. */
  private void check() {
    Set<RunRef> started = new HashSet<>();
    for (DispatchAction.Start start : takeActions(DispatchAction.Start.class)) {
      long cpuMillis = submitted.get(start.run().task().job()).cpuMillis();
      long endsAt = now + (20 + random.nextInt(60)) * MICROS_PER_MILLI;
      active.put(start.run(), new Active(start.worker().id(), cpuMillis, endsAt));
      started.add(start.run());
    }
    for (DispatchAction.Finish finish : takeActions(DispatchAction.Finish.class)) {
      if (finish.outcome() == JobOutcome.REFUSED) {
        refusals++;
        checkRefusal(finish.job());
      }
    }
    started.forEach(run -> confirmStart(active.get(run).worker(), run));
  }

  private void checkRefusal(JobId id) {
    Submitted job = submitted.get(id);
    if (now - job.arrivedAt() > MAX_AGE_MILLIS * MICROS_PER_MILLI) {
      return;
    }
    long places = 0;
    for (String worker : WORKERS) {
      long used =
          active.values().stream()
              .filter(run -> run.worker().equals(worker))
              .mapToLong(Active::cpuMillis)
              .sum();
      places += (WORKER_CPU_MILLIS - used) / job.cpuMillis();
    }
    assertWithMessage("free places for %s, %s at %s", id, job, now)
        .that(places)
        .isLessThan(job.tasks());
  }

  private void play(long seed) {
    random = new SplittableRandom(seed);
    beginTermWithShedding();
    for (int i = 0; i < 600; i++) {
      now += (1 + random.nextInt(6)) * MICROS_PER_MILLI;
      completeRuns();
      if (random.nextInt(10) < 7) {
        submitRandomJob();
      }
      if (i % 5 == 0) {
        step(0, new DispatchEvent.Tick());
        check();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void noJobIsRefusedWhileItsTasksFit(long seed) {
    play(seed);
  }

  @Test
  void theLoadLeadsToRefusals() {
    play(11);
    assertWithMessage("refusals").that(refusals).isGreaterThan(10);
  }
}
