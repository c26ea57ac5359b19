package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** What a decision costs while many jobs wait for many workers, by what it allocates. */
class PlacementCostTest extends DispatcherFixture {

  private static final int WORKERS = 250;
  private static final int LARGE_JOBS = 600;
  private static final int SMALL_JOBS = 100;
  private static final int TASKS = 4;
  private static final int ROUNDS = 5;
  private static final int ENDS = WORKERS / ROUNDS;
  private static final long LARGE_CPU_MILLIS = 1_500;
  private static final long SMALL_CPU_MILLIS = 1_000;
  private static final long MOST_BYTES = 60_000;
  private static final long PATIENCE = 60_000 * MICROS_PER_MILLI;

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private int made;
  private int ends;

  private void submit(int tasks, long cpuMillis) {
    JobId id = new JobId(String.format("%016x", ++made));
    StepSpec step = new StepSpec(tasks, new Resources(cpuMillis, 1, 0), 50, List.of(), "", "", 0);
    JobDescription job = new JobDescription(id, "p", List.of(step), Set.of());
    step(0, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "entry", now, now + PATIENCE, 0));
  }

  /** Fills each worker with one run and takes the starts as answered. */
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

  /** Returns what the decisions after the end of a run allocate, in bytes. */
  private long bytesOfEnds(List<DispatchAction.Start> running) {
    long begin = threads.getCurrentThreadAllocatedBytes();
    for (DispatchAction.Start each : running) {
      RunRef run = each.run();
      report(
          each.worker().id(),
          List.of(),
          new WorkerReport.Completion(++ends, run, WorkerReport.RunOutcome.DONE));
      for (DispatchAction.Start next : takeActions(DispatchAction.Start.class)) {
        confirmStart(next.worker().id(), next.run());
      }
    }
    return (threads.getCurrentThreadAllocatedBytes() - begin) / running.size();
  }

  /** A leader whose decisions take longer the more jobs wait never works off what waits. */
  @Test
  void endOfRunIsCheapWhileMuchWaitsThatDoesNotFit() {
    List<DispatchAction.Start> running = fillWorkers();
    for (int i = 0; i < LARGE_JOBS; i++) {
      submit(TASKS, LARGE_CPU_MILLIS);
    }
    for (int i = 0; i < SMALL_JOBS; i++) {
      submit(TASKS, SMALL_CPU_MILLIS);
    }
    long least = Long.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      least = Math.min(least, bytesOfEnds(running.subList(round * ENDS, (round + 1) * ENDS)));
    }
    assertThat(least).isLessThan(MOST_BYTES);
  }
}
