package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.StepSpec;

/**
 * A job that has not ended. Confined to one thread.
 *
 * <p>Invariant: a step's tasks are ready only once all tasks of the steps before it are done.
 */
final class Job {

  private static final int RUNS_PER_GENERATION = 32;
  private static final int RUNS_PER_TERM = 64;

  private final JobDescription description;
  private final RequestClass requestClass;
  private final List<List<Task>> steps = new ArrayList<>();
  private final int[] openTasks;
  private final long minCpuMillis;
  private final long criticalPathMillis;
  private final double estimatedWork;
  private long remainingCriticalPathMillis;
  private final StoredJob record;
  private final List<CompletionHold> unstoredCompletions = new ArrayList<>();

  /** What is stored of its progress; null if nothing is. */
  private JobProgress storedProgress;

  private boolean endStored;

  final Set<String> entries = new HashSet<>();
  final long arrivedAt;
  long deadline;

  /** Until when its tasks wait for room near their data rather than go far from it. */
  long localityWaitUntil;

  /** The failure domain of the host that it came in at; empty if it is not known. */
  String origin = "";

  /** Whether a run of it was ever ordered, by this leader or an earlier one. */
  boolean started;

  /** Whether runs that an earlier leader ordered may be at work where they can't be seen. */
  boolean mayHaveEarlierRuns;

  /** Whether its record is stored; an ephemeral job has none. */
  boolean stored;

  /** How it ended, if it is durable; otherwise {@link JobStatus#RUNNING}. */
  JobStatus status = JobStatus.RUNNING;

  /** When it ended, in milliseconds since 1970. */
  long endedMillis;

  private double biasFactor = 1;

  /** Creates an ephemeral job, whose caller waits for its end. */
  Job(
      JobDescription description,
      RequestClass requestClass,
      long arrivedAt,
      long deadline,
      int generation) {
    this(description, requestClass, null, arrivedAt, deadline, 0);
    recordResubmission(generation);
  }

  private Job(
      JobDescription description,
      RequestClass requestClass,
      StoredJob record,
      long arrivedAt,
      long deadline,
      int firstRun) {
    this.description = description;
    this.requestClass = requestClass;
    this.record = record;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.openTasks = new int[description.steps().size()];
    for (int step = 0; step < openTasks.length; step++) {
      openTasks[step] = description.steps().get(step).count();
      List<Task> tasks = new ArrayList<>();
      for (int i = 0; i < openTasks[step]; i++) {
        tasks.add(new Task(this, step, i, firstRun));
      }
      steps.add(tasks);
    }
    this.minCpuMillis =
        description.steps().stream().mapToLong(step -> step.need().cpuMillis()).min().orElse(0);
    this.estimatedWork = description.steps().stream().mapToDouble(Job::estimatedWork).sum();
    this.criticalPathMillis = remainingEstimateMillis();
    this.remainingCriticalPathMillis = criticalPathMillis;
  }

  /**
   * Creates a durable job.
   *
   * @param record what is stored of it
   * @param arrivedAt when it came in, on the leader's steady clock
   * @param ordinal counts the terms; the runs of a later term have higher numbers
   */
  static Job durable(StoredJob record, long arrivedAt, int ordinal) {
    int firstRun = ordinal * RUNS_PER_TERM;
    return new Job(
        record.job(), record.requestClass(), record, arrivedAt, Long.MAX_VALUE, firstRun);
  }

  /**
   * Takes in that an entry host handed it on, if it did: an earlier leader may have ordered runs.
   *
   * @param generation how many leaders were given it before this one
   */
  void recordResubmission(int generation) {
    if (generation == 0 || isDurable()) {
      return;
    }
    mayHaveEarlierRuns = true;
    started = true;
    raiseRunNumbers(generation * RUNS_PER_GENERATION);
  }

  /** Takes in what an earlier leader stored of it. */
  void restore(JobProgress progress) {
    stored = true;
    mayHaveEarlierRuns = true;
    storedProgress = progress;
    if (progress == null) {
      return;
    }
    started = true;
    progress.done().forEach(number -> markDone(task(number.step(), number.index())));
    for (JobProgress.FailedRun failed : progress.failed()) {
      task(failed.step(), failed.index()).noteFailure(failed.run());
    }
  }

  /** Tells whether it is stored and outlives its caller's connection. */
  boolean isDurable() {
    return record != null;
  }

  /** Returns what is stored of it when it is accepted; null if it is ephemeral. */
  StoredJob record() {
    return record;
  }

  /** Returns what is to be stored of it now. */
  JobProgress progress() {
    List<JobProgress.TaskPosition> done = new ArrayList<>();
    List<JobProgress.FailedRun> failed = new ArrayList<>();
    if (!status.isTerminal()) {
      steps.forEach(tasks -> tasks.forEach(task -> task.addTo(done, failed)));
    }
    return new JobProgress(status, done, failed, endedMillis);
  }

  /**
   * Makes a worker keep an end that must be stored before it may be forgotten.
   *
   * @return whether it must; then a later batch must hold the job
   */
  boolean holdCompletionUntilStored(Worker worker, WorkerReport.Completion end) {
    boolean counts = end.outcome() == RunOutcome.DONE || end.outcome() == RunOutcome.FAILED;
    if (!isDurable() || !counts || endStored) {
      return false;
    }
    if (storedProgress != null && storedProgress.covers(end.run(), end.outcome())) {
      return false;
    }
    unstoredCompletions.add(worker.holdCompletion(end.sequence()));
    return true;
  }

  /** Takes in what is stored of its progress now. */
  void markProgressStored(JobProgress progress) {
    storedProgress = progress;
  }

  /** Takes in that its end is stored; workers need keep no ends of it any more. */
  void markEndStored() {
    endStored = true;
    removeUnstoredCompletions().forEach(CompletionHold::release);
  }

  /** Returns the ends that were held since the last call. */
  List<CompletionHold> removeUnstoredCompletions() {
    List<CompletionHold> ends = List.copyOf(unstoredCompletions);
    unstoredCompletions.clear();
    return ends;
  }

  JobId id() {
    return description.id();
  }

  JobDescription description() {
    return description;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  /** Returns the task with these numbers; null if there is none. */
  Task task(int step, int index) {
    if (step < 0 || step >= steps.size() || index < 0 || index >= steps.get(step).size()) {
      return null;
    }
    return steps.get(step).get(index);
  }

  void markDone(Task task) {
    if (!task.done) {
      task.done = true;
      openTasks[task.ref.step()]--;
      if (openTasks[task.ref.step()] == 0) {
        remainingCriticalPathMillis = remainingEstimateMillis();
      }
    }
  }

  boolean isComplete() {
    for (int open : openTasks) {
      if (open > 0) {
        return false;
      }
    }
    return true;
  }

  private boolean isReady(int step) {
    for (int before : description.steps().get(step).after()) {
      if (openTasks[before] > 0) {
        return false;
      }
    }
    return true;
  }

  /** Takes in how many times as long as predicted a task of it has run. */
  void setBiasFactor(double factor) {
    biasFactor = factor;
  }

  /** Returns how many times as long as predicted its tasks run, as far as that is known. */
  double biasFactor() {
    return biasFactor;
  }

  /** Tells whether any run of it failed. */
  boolean hasFailures() {
    return steps.stream().flatMap(List::stream).anyMatch(task -> task.failures() > 0);
  }

  /** Tells whether any task is left to start, now or once the steps before it are done. */
  boolean hasUnstartedTask() {
    return steps.stream().anyMatch(Job::hasWaitingTask);
  }

  /** Tells whether any task may start now. */
  boolean hasWaitingTask() {
    for (int step = 0; step < openTasks.length; step++) {
      if (openTasks[step] > 0 && isReady(step) && hasWaitingTask(steps.get(step))) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasWaitingTask(List<Task> tasks) {
    for (Task task : tasks) {
      if (task.isWaiting()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the least processor need of its tasks, in thousandths of a core. */
  long minCpuMillis() {
    return minCpuMillis;
  }

  private static double estimatedWork(StepSpec step) {
    return (double) step.count() * step.need().cpuMillis() * Math.max(1, step.estimateMillis());
  }

  /** Returns the work of all its tasks by its caller's estimate, in thousandths of core-millis. */
  double estimatedWork() {
    return estimatedWork;
  }

  /** Returns the tasks that may start now, in their order. */
  List<Task> waitingTasks() {
    List<Task> waiting = new ArrayList<>();
    for (int step = 0; step < openTasks.length; step++) {
      if (openTasks[step] > 0 && isReady(step)) {
        for (Task task : steps.get(step)) {
          if (task.isWaiting()) {
            waiting.add(task);
          }
        }
      }
    }
    return waiting;
  }

  /** Returns the tasks that may be at work. */
  List<Run> runs() {
    List<Run> runs = new ArrayList<>();
    for (List<Task> tasks : steps) {
      for (Task task : tasks) {
        if (task.run != null) {
          runs.add(task.run);
        }
      }
    }
    return runs;
  }

  /** Returns the highest run number that any of its tasks has had. */
  int lastRunNumber() {
    int last = 0;
    for (List<Task> tasks : steps) {
      for (Task task : tasks) {
        last = Math.max(last, task.lastRunNumber);
      }
    }
    return last;
  }

  void raiseRunNumbers(int atLeast) {
    for (List<Task> tasks : steps) {
      for (Task task : tasks) {
        task.lastRunNumber = Math.max(task.lastRunNumber, atLeast);
      }
    }
  }

  /** Returns the longest chain of the estimates, in milliseconds. */
  long criticalPathMillis() {
    return criticalPathMillis;
  }

  /** Returns the estimate of the steps that are not done, along the longest chain, in millis. */
  long remainingCriticalPathMillis() {
    return remainingCriticalPathMillis;
  }

  private long remainingEstimateMillis() {
    return description.criticalPathMillis(step -> openTasks[step] > 0);
  }
}
