package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** Limits the memory allocated by a dispatch decision while many jobs wait for many workers. */
class WorkerSelectorCostTest extends DispatcherFixture {

  private static final int WORKERS = 250;
  private static final int LARGE_JOBS = 600;
  private static final int SMALL_JOBS = 100;
  private static final int TASKS = 4;
  private static final int ROUNDS = 5;
  private static final int COMPLETIONS_PER_ROUND = WORKERS / ROUNDS;
  private static final long LARGE_CPU_MILLIS = 1_500;
  private static final long SMALL_CPU_MILLIS = 1_000;
  private static final long MAX_BYTES_PER_COMPLETION = 60_000;
  private static final long TIMEOUT_MICROS = 60_000 * MICROS_PER_MILLI;

  private final ThreadMXBean threadBean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private int nextJobNumber;
  private int lastSequence;

  private void submit(int tasks, long cpuMillis) {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++nextJobNumber));
    StepSpec step = new StepSpec(tasks, new Resources(cpuMillis, 1, 0), 50, List.of(), "", "", 0);
    JobDescription job = new JobDescription(id, "p", List.of(step), Set.of());
    step(
        0,
        new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "entry", now, now + TIMEOUT_MICROS, 0));
  }

  /** Starts one run on each worker and confirms the start orders. */
  private List<DispatchAction.Start> fillWorkers() {
    List<WorkerInfo> infos = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      infos.add(worker("w" + i, i == 0 ? LARGE_CPU_MILLIS : SMALL_CPU_MILLIS, false));
    }
    listWorkers(infos.toArray(WorkerInfo[]::new));
    infos.forEach(info -> report(info.id(), List.of()));
    List<DispatchAction.Start> starts = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      submit(1, SMALL_CPU_MILLIS);
      DispatchAction.Start start = takeActions(DispatchAction.Start.class).get(0);
      confirmStart(start.worker().id(), start.run());
      starts.add(start);
    }
    return starts;
  }

  /** Returns the bytes allocated by the decisions per completed run. */
  private long allocatedBytesPerCompletion(List<DispatchAction.Start> running) {
    long begin = threadBean.getCurrentThreadAllocatedBytes();
    for (DispatchAction.Start each : running) {
      RunRef run = each.run();
      report(
          each.worker().id(),
          List.of(),
          new WorkerReport.Completion(++lastSequence, run, WorkerReport.RunOutcome.DONE));
      for (DispatchAction.Start next : takeActions(DispatchAction.Start.class)) {
        confirmStart(next.worker().id(), next.run());
      }
    }
    return (threadBean.getCurrentThreadAllocatedBytes() - begin) / running.size();
  }

  /**
   * If the cost of a decision grew with the number of waiting jobs, the leader could never work off
   * a large backlog.
   */
  @Test
  void completionIsCheapWithLargeUnplaceableBacklog() {
    List<DispatchAction.Start> running = fillWorkers();
    for (int i = 0; i < LARGE_JOBS; i++) {
      submit(TASKS, LARGE_CPU_MILLIS);
    }
    for (int i = 0; i < SMALL_JOBS; i++) {
      submit(TASKS, SMALL_CPU_MILLIS);
    }
    long min = Long.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      min =
          Math.min(
              min,
              allocatedBytesPerCompletion(
                  running.subList(
                      round * COMPLETIONS_PER_ROUND, (round + 1) * COMPLETIONS_PER_ROUND)));
    }
    assertThat(min).isLessThan(MAX_BYTES_PER_COMPLETION);
  }
}
