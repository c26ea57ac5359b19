package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;

/** Tests the choice between workers of two speeds for jobs with more or less slack. */
class SlackPlacementStrategyTest {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long NOW = 10_000 * MICROS_PER_MILLI;
  private static final long WORK_MILLIS = 100;
  private static final long TASK_CPU_MILLIS = 500;
  private static final int TRAINING_RUNS = 300;
  private static final double FAR_FACTOR = 3;

  private static final SchedulingPolicy SCHEDULING =
      SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK);

  private final DispatchPolicy policy = new DispatchPolicy(980, FAR_FACTOR, 250, 120_000);
  private final DurationModel durations = new DurationModel();
  private final QueueOrder order =
      new QueueOrder(durations, new FairShareWeights(false, NOW), SCHEDULING);
  private final SlowWorkerAvoidance avoidance = new SlowWorkerAvoidance(order);
  private final WorkerRegistry workers = new WorkerRegistry(NOW, NOW);
  private final WorkerSelector selector =
      new WorkerSelector(
          policy,
          durations,
          new SlackPlacementStrategy(durations, new SlackCalculator(order), workers),
          avoidance);
  private int lastJobNumber;

  /**
   * Teaches the model that slow workers take as long as estimated, and fast workers two thirds of
   * that.
   */
  @BeforeEach
  void trainModel() {
    Worker slow = worker("training-1", "slow", "r-0", 1);
    Worker fast = worker("training-2", "fast", "r-0", 1);
    for (int i = 0; i < TRAINING_RUNS; i++) {
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
    return task(arrivedAt, rack, new Resources(TASK_CPU_MILLIS, 1, 0));
  }

  private Task task(long arrivedAt, String rack, Resources need) {
    StepSpec step = new StepSpec(1, need, WORK_MILLIS, List.of(), "", rack, 0);
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", ++lastJobNumber));
    JobDescription description = new JobDescription(id, "p", List.of(step), Set.of());
    return new Job(description, DispatcherFixture.REQUEST_CLASS, arrivedAt, Long.MAX_VALUE, 0)
        .task(0, 0);
  }

  private String chosenWorker(Task task, Worker... offered) {
    WorkerSelector.Choice choice = selector.selectWorker(task, List.of(offered), NOW);
    return choice == null ? "none" : choice.worker().id();
  }

  /** Fast workers occupied by jobs with slack would be missing for jobs without slack. */
  @Test
  void jobWithSlackLeavesTheFastWorkerFree() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    assertThat(chosenWorker(task(NOW, ""), fast, slow)).isEqualTo("slow");
  }

  /** The job would miss its objective on a slow worker. */
  @Test
  void jobWithoutSlackGetsTheFastWorker() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    assertThat(chosenWorker(task(NOW - 95 * MICROS_PER_MILLI, ""), slow, fast)).isEqualTo("fast");
  }

  /** A worker that became slow must not get a job that would miss its objective there. */
  @Test
  void slowedWorkerIsSkipped() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    slow.observedSlowness = 4;
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    assertThat(chosenWorker(task(NOW, ""), slow, fast)).isEqualTo("fast");
  }

  /** Waiting for another worker is better than to start where the job is sure to be late. */
  @Test
  void taskWaitsRatherThanStartOnSlowedWorker() {
    Worker slowed = worker("slowed", "slow", "r-0", 1_000);
    slowed.observedSlowness = 4;
    assertThat(chosenWorker(task(NOW, ""), slowed)).isEqualTo("none");
  }

  /** A job that is late anyway is still of use if it ends soon enough. */
  @Test
  void lateJobStartsOnSlowedWorkerWhileItsResultIsOfUse() {
    Worker slowed = worker("slowed", "slow", "r-0", 1_000);
    slowed.observedSlowness = 2.5;
    assertThat(chosenWorker(task(NOW - 180 * MICROS_PER_MILLI, ""), slowed)).isEqualTo("slowed");
    assertThat(chosenWorker(task(NOW - 600 * MICROS_PER_MILLI, ""), slowed)).isEqualTo("none");
  }

  /** If most workers look slow, the predictions are wrong. */
  @Test
  void noTaskWaitsIfMostWorkersLookSlow() {
    Worker slowed = worker("slowed", "slow", "r-0", 1_000);
    slowed.observedSlowness = 4;
    avoidance.update(List.of(slowed));
    assertThat(chosenWorker(task(NOW, ""), slowed)).isEqualTo("slowed");
  }

  /** A job that has waited must meet its objective even if its true work is twice the estimate. */
  @Test
  void underestimatedJobStillMeetsItsObjective() {
    Worker slow = worker("slow", "slow", "r-0", 1_000);
    Worker fast = worker("fast", "fast", "r-0", 1_000);
    Task waitingTask = task(NOW - 60 * MICROS_PER_MILLI, "");
    String workerId = chosenWorker(waitingTask, slow, fast);
    double trueMillis = 2.0 * WORK_MILLIS;
    double factor = workerId.equals("slow") ? 1 : 0.66;
    assertThat(60 + factor * trueMillis).isAtMost(1.6 * trueMillis + 60);
  }

  /** Leftover capacity that is too small for any task is wasted. */
  @Test
  void leftoverCapacityFitsOtherTasks() {
    Worker unsuited = worker("unsuited", "slow", "r-0", 900);
    Worker suited = worker("suited", "slow", "r-0", 1_000);
    assertThat(chosenWorker(task(NOW, ""), unsuited, suited)).isEqualTo("suited");
  }

  /** Waiting beyond the latest start time would make the job late on any worker. */
  @Test
  void taskWaitsForItsRackOnlyUntilTheLatestStart() {
    Worker near = worker("near", "slow", "r-1", 1_000);
    Worker far = worker("far", "fast", "r-0", 1_000);
    addUsable(near);
    occupy(near);
    assertThat(chosenWorker(task(NOW, "r-1"), far)).isEqualTo("none");
    assertThat(chosenWorker(task(NOW - 200 * MICROS_PER_MILLI, "r-1"), far)).isEqualTo("far");
  }

  /** One such request kept its leader busy until its memory was full, and so the next leader. */
  @Test
  void taskThatNeedsNothingIsPlacedBesideBusyRack() {
    Worker near = worker("near", "slow", "r-1", 1_000);
    Worker far = worker("far", "fast", "r-0", 1_000);
    addUsable(near);
    occupy(near);
    Task task = task(NOW, "r-1", new Resources(0, 0, 0));
    assertTimeoutPreemptively(Duration.ofMillis(500), () -> chosenWorker(task, far));
  }

  /** Tasks must not wait for a rack without usable workers. */
  @Test
  void taskDoesNotWaitForRackWithoutUsableWorkers() {
    Worker far = worker("far", "fast", "r-0", 1_000);
    assertThat(chosenWorker(task(NOW, "r-1"), far)).isEqualTo("far");
  }

  private void addUsable(Worker worker) {
    List<DispatchAction> out = new ArrayList<>();
    workers.loadRoster(List.of(worker.info()), NOW, out);
    workers.updateList(List.of(worker.info()), NOW, out);
    Worker known = workers.find(worker.id());
    known.synced = true;
    known.clock.update(NOW / MICROS_PER_MILLI, NOW, NOW);
  }

  private void occupy(Worker worker) {
    Worker known = workers.find(worker.id());
    for (int i = 0; i < 2; i++) {
      Task other = task(NOW - 80 * MICROS_PER_MILLI, "");
      known.add(
          new Run(new RunRef(other.ref, 1), other, known, NOW - 80 * MICROS_PER_MILLI, 0, 100_000));
    }
  }
}
