package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** Workers of two speeds, one of which each job needs more than the others. */
class SlackPlacementTest {

  private static final long MILLI = 1_000;
  private static final long NOW = 10_000 * MILLI;
  private static final long WORK_MILLIS = 100;
  private static final long NEED = 500;
  private static final int RUNS_LEARNED = 300;
  private static final double FAR_FACTOR = 3;

  private static final SchedulingPolicy SCHEDULING =
      SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK);

  private final DispatchPolicy policy = new DispatchPolicy(980, FAR_FACTOR, 250, 120_000);
  private final DurationModel durations = new DurationModel();
  private final QueueOrder order =
      new QueueOrder(durations, new FairShareWeights(false, NOW), SCHEDULING);
  private final WorkerRegistry workers = new WorkerRegistry(NOW, NOW);
  private final WorkerSelector placement =
      new WorkerSelector(
          policy,
          durations,
          new SlackPlacementStrategy(durations, new SlackCalculator(order), workers));
  private int made;

  /** Learns that one kind is as fast as estimated and the other takes two thirds of that. */
  @BeforeEach
  void learnSpeeds() {
    Worker slow = worker("teacher-1", "slow", "r-0", 1);
    Worker fast = worker("teacher-2", "fast", "r-0", 1);
    for (int i = 0; i < RUNS_LEARNED; i++) {
      durations.learn("check", slow, WORK_MILLIS, 100_000);
      durations.learn("check", fast, WORK_MILLIS, 66_000);
    }
  }

  private static Worker worker(String id, String kind, String rack, long cpuMillis) {
    Resources capacity = new Resources(cpuMillis, 1_000, 0);
    return new Worker(
        new WorkerInfo(id, "reviews", "10.0.0.1:1", "d", capacity, kind, rack, Set.of(), false, 1));
  }

  private Task task(long arrivedAt, String rack) {
    StepSpec step = new StepSpec(1, new Resources(NEED, 1, 0), WORK_MILLIS, List.of(), "", rack, 0);
    JobId id = new JobId(String.format("%016x", ++made));
    JobDescription description = new JobDescription(id, "p", List.of(step), Set.of());
    return new Job(description, DispatcherFixture.REQUEST_CLASS, arrivedAt, Long.MAX_VALUE, 0)
        .task(0, 0);
  }

  private String chosen(Task task, Worker... offered) {
    WorkerSelector.Choice choice = placement.selectWorker(task, List.of(offered), NOW);
    return choice == null ? "none" : choice.worker().id();
  }

  /** Fast workers in use by jobs that have time are missing for those that have none. */
  @Test
  void jobWithTimeLeavesTheFastWorkerFree() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    assertThat(chosen(task(NOW, ""), fast, slow)).isEqualTo("slow");
  }

  /** On a slow worker it would be late. */
  @Test
  void jobShortOfTimeGetsTheFastWorker() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    assertThat(chosen(task(NOW - 95 * MILLI, ""), slow, fast)).isEqualTo("fast");
  }

  /** A worker that has become slow gets no job that would be late there. */
  @Test
  void workerThatBecameSlowIsPassedOver() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    slow.observedSlowness = 4;
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    assertThat(chosen(task(NOW, ""), slow, fast)).isEqualTo("fast");
  }

  /** With an estimate of half the work, a job that has waited still ends in time. */
  @Test
  void estimateThatIsOffByHalfLeavesTimeEnough() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    Task longest = task(NOW - 60 * MILLI, "");
    String where = chosen(longest, slow, fast);
    double trueMillis = 2.0 * WORK_MILLIS;
    double factor = where.equals("slow") ? 1 : 0.66;
    assertThat(60 + factor * trueMillis).isAtMost(1.6 * trueMillis + 60);
  }

  /** Room left over that no task can use is lost. */
  @Test
  void roomLeftOverSuitsOtherTasks() {
    Worker awkward = worker("awkward", "slow", "r-0", 900);
    Worker even = worker("even", "slow", "r-0", 1_000);
    assertThat(chosen(task(NOW, ""), awkward, even)).isEqualTo("even");
  }

  /** A wait past the last start would make the job late on any worker. */
  @Test
  void farTaskWaitsForItsRackOnlyUntilItsLastStart() {
    Worker near = worker("near", "slow", "r-1", 1_000);
    Worker far = worker("far", "fast", "r-0", 1_000);
    listUsable(near);
    occupy(near);
    assertThat(chosen(task(NOW, "r-1"), far)).isEqualTo("none");
    assertThat(chosen(task(NOW - 200 * MILLI, "r-1"), far)).isEqualTo("far");
  }

  /** Nobody waits for a rack whose workers can't be used. */
  @Test
  void farTaskDoesNotWaitForRackThatIsGone() {
    Worker far = worker("far", "fast", "r-0", 1_000);
    assertThat(chosen(task(NOW, "r-1"), far)).isEqualTo("far");
  }

  private void listUsable(Worker worker) {
    List<DispatchAction> out = new ArrayList<>();
    workers.loadRoster(List.of(worker.info()), NOW, out);
    workers.updateList(List.of(worker.info()), NOW, out);
    Worker known = workers.find(worker.id());
    known.synced = true;
    known.clock.update(NOW / MILLI, NOW, NOW);
  }

  private void occupy(Worker worker) {
    Worker known = workers.find(worker.id());
    for (int i = 0; i < 2; i++) {
      Task other = task(NOW - 80 * MILLI, "");
      known.add(new Run(new RunRef(other.ref, 1), other, known, NOW - 80 * MILLI, 0, 100_000));
    }
  }
}
