package org.marjoramhoist.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.TaskId;
import org.marjoramhoist.model.TaskResult;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.model.WorkerId;
import org.marjoramhoist.resource.ClassSpec;

/**
 * An accepted job: which of its tasks wait, run and have ended.
 *
 * <p>Invariant: every task is waiting, running in exactly one attempt, or has a result, until the
 * job ends. Confined to one thread.
 */
final class JobRun {

  private final JobSpec spec;
  private final ClassSpec requestClass;
  private final long submittedAt;
  private final long deadline;
  private final long order;
  private final Deque<TaskSpec> waiting;
  private final Map<TaskId, TaskResult> results = new HashMap<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Set<AttemptId> attempts = new HashSet<>();
  private final Map<String, Integer> racks = new HashMap<>();
  private final Set<WorkerId> avoided = new HashSet<>();
  private double expectedEach;
  private long due;
  private boolean ended;
  private long firstStart = -1;
  private long longestRun;

  JobRun(JobSpec spec, ClassSpec requestClass, long submittedAt, long order) {
    this.spec = spec;
    this.requestClass = requestClass;
    this.submittedAt = submittedAt;
    this.deadline = spec.deadlineMillis() * Policy.MICROS_PER_MILLI;
    this.order = order;
    this.waiting = new ArrayDeque<>(spec.tasks());
  }

  JobSpec spec() {
    return spec;
  }

  ClassSpec requestClass() {
    return requestClass;
  }

  long submittedAt() {
    return submittedAt;
  }

  long deadline() {
    return deadline;
  }

  /** Returns the number of the job in the order of arrival. */
  long order() {
    return order;
  }

  /** Returns the expected run time of one task as of the job's arrival, in microseconds. */
  double expectedEach() {
    return expectedEach;
  }

  void setExpectedEach(double micros) {
    expectedEach = micros;
  }

  long due() {
    return due;
  }

  void setDue(long time) {
    due = time;
  }

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  int waitingCount() {
    return waiting.size();
  }

  TaskSpec peek() {
    return waiting.peek();
  }

  /** Notes that the next waiting task was started. */
  TaskSpec start(AttemptId attempt, String rack, long now) {
    TaskSpec task = waiting.poll();
    attempts.add(attempt);
    starts.merge(task.id(), 1, Integer::sum);
    racks.merge(rack, 1, Integer::sum);
    if (firstStart < 0) {
      firstStart = now;
    }
    return task;
  }

  /** Notes that an attempt ended without a result and that its task waits again. */
  void waitAgain(AttemptId attempt, TaskSpec task, String rack) {
    attempts.remove(attempt);
    racks.merge(rack, -1, Integer::sum);
    waiting.addFirst(task);
  }

  /** Notes that an attempt turned out never to have started its task. */
  void neverStarted(TaskSpec task) {
    starts.merge(task.id(), -1, Integer::sum);
  }

  /** Notes a task's result. */
  void complete(AttemptId attempt, TaskResult result, String rack) {
    attempts.remove(attempt);
    racks.merge(rack, -1, Integer::sum);
    results.putIfAbsent(result.id(), result);
    longestRun = Math.max(longestRun, result.runMicros());
  }

  /** Returns how often the task was started. */
  int starts(TaskSpec task) {
    return starts.getOrDefault(task.id(), 0);
  }

  /** Tells whether any task was started. */
  boolean hasStarted() {
    return starts.values().stream().anyMatch(count -> count > 0);
  }

  boolean isComplete() {
    return results.size() == spec.tasks().size();
  }

  int resultCount() {
    return results.size();
  }

  /** Returns the results in the order of the job's tasks. */
  List<TaskResult> orderedResults() {
    List<TaskResult> ordered = new ArrayList<>();
    spec.tasks().forEach(task -> ordered.add(results.get(task.id())));
    return ordered;
  }

  Set<AttemptId> attempts() {
    return attempts;
  }

  /** Notes that a task of the job has failed on the worker. */
  void avoid(WorkerId worker) {
    avoided.add(worker);
  }

  /** Tells whether a task of the job has failed on the worker. */
  boolean avoids(WorkerId worker) {
    return avoided.contains(worker);
  }

  int runningInRack(String rack) {
    return racks.getOrDefault(rack, 0);
  }

  boolean isEnded() {
    return ended;
  }

  /** Ends the job; what waits is dropped. */
  void end() {
    ended = true;
    waiting.clear();
  }

  long firstStart() {
    return firstStart;
  }

  long longestRun() {
    return longestRun;
  }
}
