package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.marjoramhoist.dispatch.JobProgress.DoneTasks;
import org.marjoramhoist.dispatch.JobProgress.FailedRuns;
import org.marjoramhoist.dispatch.JobProgress.LostRuns;

/**
 * Merges parts of a job's progress that differ in their tasks only.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ProgressGroups {

  private record Losses(int step, WorkerLoss loss) {}

  private record Runs(int step, NumberSet runs) {}

  private record Tasks(int step, NumberSet tasks) {}

  private ProgressGroups() {}

  /** Returns one value for each step. */
  static List<DoneTasks> ofDone(List<DoneTasks> done) {
    List<DoneTasks> merged = new ArrayList<>();
    merge(done, DoneTasks::step, DoneTasks::tasks)
        .forEach((step, tasks) -> merged.add(new DoneTasks(step, tasks)));
    return List.copyOf(merged);
  }

  /** Returns one value for each step and set of runs. */
  static List<FailedRuns> ofFailed(List<FailedRuns> failed) {
    // Earlier versions wrote a value for each run.
    Map<Tasks, NumberSet> runsByTasks =
        merge(failed, each -> new Tasks(each.step(), each.tasks()), FailedRuns::runs);
    List<FailedRuns> byTasks = new ArrayList<>();
    runsByTasks.forEach(
        (tasks, runs) -> byTasks.add(new FailedRuns(tasks.step(), tasks.tasks(), runs)));
    List<FailedRuns> merged = new ArrayList<>();
    merge(byTasks, each -> new Runs(each.step(), each.runs()), FailedRuns::tasks)
        .forEach((key, tasks) -> merged.add(new FailedRuns(key.step(), tasks, key.runs())));
    return List.copyOf(merged);
  }

  /** Returns one value for each step and loss. */
  static List<LostRuns> ofLost(List<LostRuns> lost) {
    List<LostRuns> merged = new ArrayList<>();
    merge(lost, each -> new Losses(each.step(), each.loss()), LostRuns::tasks)
        .forEach((key, tasks) -> merged.add(new LostRuns(key.step(), tasks, key.loss())));
    return List.copyOf(merged);
  }

  private static <E, K> Map<K, NumberSet> merge(
      List<E> from, Function<E, K> key, Function<E, NumberSet> numbers) {
    Map<K, NumberSet.Builder> builders = new LinkedHashMap<>();
    for (E each : from) {
      builders
          .computeIfAbsent(key.apply(each), any -> new NumberSet.Builder())
          .addAll(numbers.apply(each));
    }
    Map<K, NumberSet> merged = new LinkedHashMap<>();
    builders.forEach((group, builder) -> merged.put(group, builder.build()));
    return merged;
  }
}
