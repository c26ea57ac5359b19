package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.SubmissionNumber;

/**
 * A job that has not ended. Confined to one thread.
 *
 * <p>Invariant: the tasks of a step are ready only once all tasks of its predecessor steps are
 * done.
 */
final class Job {

  private static final int RUNS_PER_GENERATION = 32;
  private static final int RUNS_PER_TERM = 64;

  /** Tells whether a run with a number may be of a durable job; those start in the first term. */
  static boolean mayBeDurable(int runNumber) {
    return runNumber > RUNS_PER_TERM;
  }

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

  /** The stored progress; null if none is stored. */
  private JobProgress storedProgress;

  private boolean endStored;

  /**
   * A submission of the job.
   *
   * @param number its number
   * @param heardAt when the last heartbeat was sent that the entry host had received
   */
  record Submission(SubmissionNumber number, long heardAt) {}

  /** The last submission of each entry host that waits for the outcome. */
  final Map<String, Submission> entries = new HashMap<>();

  final long arrivedAt;
  long deadline;

  /**
   * Until when the tasks of this job wait for capacity near their data instead of running remote
   * from it.
   */
  long localityWaitUntil;

  /** The failure domain of the entry host that received the job; empty if unknown. */
  String origin = "";

  /** Whether a run of this job was ever ordered, by this leader or a previous one. */
  boolean started;

  /** Whether runs ordered by a previous leader may still be active on unreachable workers. */
  boolean mayHaveEarlierRuns;

  /** Whether the record of a durable job is stored; always false for an ephemeral job. */
  boolean stored;

  /** The final status of a durable job that has ended; otherwise {@link JobStatus#RUNNING}. */
  JobStatus status = JobStatus.RUNNING;

  /** When the job ended, in milliseconds since the epoch. */
  long endedMillis;

  private double biasFactor = 1;

  /** Creates an ephemeral job. Its caller waits for the outcome. */
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
      int firstRunNumber) {
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
        tasks.add(new Task(this, step, i, firstRunNumber));
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
   * @param record the stored record
   * @param arrivedAt when the job arrived, on the leader's monotonic clock
   * @param ordinal the number of the term; later terms use higher run numbers
   */
  static Job durable(StoredJob record, long arrivedAt, int ordinal) {
    int firstRunNumber = ordinal * RUNS_PER_TERM;
    return new Job(
        record.job(), record.requestClass(), record, arrivedAt, Long.MAX_VALUE, firstRunNumber);
  }

  /**
   * Records that an entry host submitted this job. If it was submitted to previous leaders before,
   * those may have ordered runs, so run numbers continue above theirs.
   *
   * @param generation the number of previous leaders that the job was submitted to
   */
  void recordResubmission(int generation) {
    if (generation == 0 || isDurable()) {
      return;
    }
    mayHaveEarlierRuns = true;
    started = true;
    raiseRunNumbers(generation * RUNS_PER_GENERATION);
  }

  /** Returns how the job ends if it is given up: as refused only if no run was ever ordered. */
  JobOutcome outcomeIfGivenUp() {
    return started ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
  }

  /**
   * Restores the progress stored by a previous leader.
   *
   * @param progress the stored progress; null if there is none
   */
  void restore(JobProgress progress) {
    stored = true;
    mayHaveEarlierRuns = true;
    storedProgress = progress;
    if (progress == null) {
      return;
    }
    started = true;
    for (JobProgress.DoneTasks done : progress.done()) {
      done.tasks().forEach(index -> markDone(task(done.step(), index)));
    }
    for (JobProgress.FailedRuns failed : progress.failed()) {
      failed.tasks().forEach(index -> task(failed.step(), index).recordFailures(failed.runs()));
    }
  }

  /** Returns whether the job is stored and outlives its caller's connection. */
  boolean isDurable() {
    return record != null;
  }

  /** Returns the record that is stored when the job is accepted; null for an ephemeral job. */
  StoredJob record() {
    return record;
  }

  /** Returns the current progress, for storage. */
  JobProgress progress() {
    List<JobProgress.DoneTasks> done = new ArrayList<>();
    List<JobProgress.FailedRuns> failed = new ArrayList<>();
    List<JobProgress.LostRuns> lost = new ArrayList<>();
    if (!status.isTerminal()) {
      steps.forEach(tasks -> tasks.forEach(task -> task.addTo(done, failed, lost)));
    }
    return new JobProgress(status, done, failed, endedMillis, lost);
  }

  /**
   * Makes a worker retain a completion until it is stored, if it has to be stored.
   *
   * @return whether the completion must be stored; if so, a later journal batch must contain this
   *     job
   */
  boolean holdCompletionUntilStored(Worker worker, WorkerReport.Completion completion) {
    boolean isFinal =
        completion.outcome() == RunOutcome.DONE || completion.outcome() == RunOutcome.FAILED;
    if (!isDurable() || !isFinal || endStored) {
      return false;
    }
    if (storedProgress != null && storedProgress.covers(completion.run(), completion.outcome())) {
      return false;
    }
    unstoredCompletions.add(worker.holdCompletion(completion.sequence()));
    return true;
  }

  /** Records the progress that is now stored. */
  void markProgressStored(JobProgress progress) {
    storedProgress = progress;
  }

  /**
   * Records that the end of this job is stored. Workers no longer need to retain its completions.
   */
  void markEndStored() {
    endStored = true;
    removeUnstoredCompletions().forEach(CompletionHold::release);
  }

  /** Adds completions that are held and were not stored. */
  void addUnstoredCompletions(List<CompletionHold> completions) {
    unstoredCompletions.addAll(completions);
  }

  /** Returns and clears the completions held since the last call. */
  List<CompletionHold> removeUnstoredCompletions() {
    List<CompletionHold> completions = List.copyOf(unstoredCompletions);
    unstoredCompletions.clear();
    return completions;
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

  /** Returns the task at the given position; null if there is none. */
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
    for (int openCount : openTasks) {
      if (openCount > 0) {
        return false;
      }
    }
    return true;
  }

  private boolean isReady(int step) {
    for (int predecessor : description.steps().get(step).after()) {
      if (openTasks[predecessor] > 0) {
        return false;
      }
    }
    return true;
  }

  /** Tells whether a task of this job is waiting and the predecessors of its step are done. */
  boolean isReady(Task task) {
    return task.isWaiting() && isReady(task.ref.step());
  }

  /** Returns the stored losses of workers with runs of this job. */
  List<JobProgress.LostRuns> storedLosses() {
    return storedProgress == null ? List.of() : storedProgress.lost();
  }

  /** Sets the observed ratio of run time to predicted run time of this job's tasks. */
  void setBiasFactor(double factor) {
    biasFactor = factor;
  }

  /**
   * Returns the observed ratio of run time to predicted run time of this job's tasks; 1 if unknown.
   */
  double biasFactor() {
    return biasFactor;
  }

  /** Returns whether any run of this job failed. */
  boolean hasFailures() {
    return steps.stream().flatMap(List::stream).anyMatch(task -> task.failedRunCount() > 0);
  }

  /** Returns whether any task remains to be started, now or after its predecessor steps. */
  boolean hasUnstartedTask() {
    return steps.stream().anyMatch(Job::hasWaitingTask);
  }

  /** Returns whether any task is ready to start. */
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

  /** Returns the smallest CPU requirement of any task, in thousandths of a core. */
  long minCpuMillis() {
    return minCpuMillis;
  }

  /** Returns the CPU requirement of all tasks that are ready to start, in thousandths of a core. */
  long waitingCpuMillis() {
    long sum = 0;
    for (Task task : waitingTasks()) {
      sum += task.spec().need().cpuMillis();
    }
    return sum;
  }

  private static double estimatedWork(StepSpec step) {
    return (double) step.count() * step.need().cpuMillis() * Math.max(1, step.estimateMillis());
  }

  /**
   * Returns the total work of all tasks according to the caller's estimates, in thousandths of a
   * core times milliseconds.
   */
  double estimatedWork() {
    return estimatedWork;
  }

  /** Returns the tasks that are ready to start, in order. */
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

  /** Returns the runs of this job that may be active. */
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

  /** Returns the highest run number used by any task. */
  int lastRunNumber() {
    int lastNumber = 0;
    for (List<Task> tasks : steps) {
      for (Task task : tasks) {
        lastNumber = Math.max(lastNumber, task.lastRunNumber);
      }
    }
    return lastNumber;
  }

  void raiseRunNumbers(int minimum) {
    for (List<Task> tasks : steps) {
      for (Task task : tasks) {
        task.lastRunNumber = Math.max(task.lastRunNumber, minimum);
      }
    }
  }

  /** Returns the length of the critical path by the caller's estimates, in milliseconds. */
  long criticalPathMillis() {
    return criticalPathMillis;
  }

  /**
   * Returns the length of the critical path without the steps that are done, by the caller's
   * estimates, in milliseconds.
   */
  long remainingCriticalPathMillis() {
    return remainingCriticalPathMillis;
  }

  private long remainingEstimateMillis() {
    return description.criticalPathMillis(step -> openTasks[step] > 0);
  }
}
