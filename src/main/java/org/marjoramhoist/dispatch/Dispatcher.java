package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchEvent.BatchStored;
import org.marjoramhoist.dispatch.DispatchEvent.DomainsDrained;
import org.marjoramhoist.dispatch.DispatchEvent.EntryHostLost;
import org.marjoramhoist.dispatch.DispatchEvent.HandOverStarted;
import org.marjoramhoist.dispatch.DispatchEvent.JobCallReceived;
import org.marjoramhoist.dispatch.DispatchEvent.JobSubmitted;
import org.marjoramhoist.dispatch.DispatchEvent.JobWithdrawn;
import org.marjoramhoist.dispatch.DispatchEvent.JobsLoaded;
import org.marjoramhoist.dispatch.DispatchEvent.PredecessorHandedOver;
import org.marjoramhoist.dispatch.DispatchEvent.RenewalAnswered;
import org.marjoramhoist.dispatch.DispatchEvent.RenewalFailed;
import org.marjoramhoist.dispatch.DispatchEvent.RosterLoaded;
import org.marjoramhoist.dispatch.DispatchEvent.RosterStored;
import org.marjoramhoist.dispatch.DispatchEvent.StartAnswered;
import org.marjoramhoist.dispatch.DispatchEvent.StartUnanswered;
import org.marjoramhoist.dispatch.DispatchEvent.StartsAllowed;
import org.marjoramhoist.dispatch.DispatchEvent.StopEnded;
import org.marjoramhoist.dispatch.DispatchEvent.TermEnded;
import org.marjoramhoist.dispatch.DispatchEvent.Tick;
import org.marjoramhoist.dispatch.DispatchEvent.WorkerEvent;
import org.marjoramhoist.dispatch.DispatchEvent.WorkersListed;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.log.LogEvent;

/**
 * The decisions of a partition's leader during one term.
 *
 * <p>Invariant: of each task at most one run may be at work. A refused job had no task started.
 * Confined to one thread.
 */
public final class Dispatcher {

  /** How long after the start of a term entry hosts may hand on the jobs of an earlier leader. */
  static final long RESUBMISSION_MICROS = 1_000_000;

  /**
   * How long a leader of a failure domain may have runs at work after it has handed over: the time
   * in which it renews them, a lease of 1 s, and 0.3 s for clocks and late orders.
   */
  private static final long PREDECESSOR_RUN_MICROS = 2_300_000;

  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private final long termStart;

  /** Null unless this leads only a failure domain. */
  private final DomainWorkerGuard guard;

  private final DurationModel durations;
  private final WorkerSelector workerSelector;
  private final FairShareWeights fairShareWeights;
  private final QueueOrder queueOrder;
  private final Backlog backlog;

  /** Null unless what can't be in time is shed. */
  private final RetrySchedule retrySchedule;

  private final WorkerRegistry workers;
  private final TaskAllocator allocator;
  private final JobRegistry jobs = new JobRegistry();

  /** Null unless jobs make way when not all can be in time. */
  private final SheddingState sheddingState;

  private final RunController runController;
  private final DurableJobs durableJobs;
  private final JobCallHandler jobCalls;
  private final AllocationRound allocationRound;
  private Set<JobId> predecessorJobs = Set.of();
  private long predecessorRunsUntil;
  private boolean allocationDue;
  private boolean startsAllowed = true;

  /** Why this leader hands over, for the answers; null if it does not. */
  private String handOverReason;

  /**
   * Creates the decisions of a term.
   *
   * @param policy bounds and time-outs
   * @param now the start of the term
   * @param earlierRunsOverAt when no run that an earlier leader ordered can be at work on a worker
   *     that is out of reach
   * @param epochMillis the time since 1970, in milliseconds, at which the steady clock was 0
   */
  public Dispatcher(DispatchPolicy policy, long now, long earlierRunsOverAt, long epochMillis) {
    // No host hands jobs on to the leader of a domain that is cut off.
    this.termStart = policy.leadsDomain() ? now - RESUBMISSION_MICROS : now;
    boolean handedOver = policy.scope() == DispatchPolicy.Scope.DOMAIN_SUCCESSOR;
    this.guard = policy.leadsDomain() ? new DomainWorkerGuard(now, handedOver) : null;
    this.fairShareWeights = new FairShareWeights(policy.scheduling().fairShares(), now);
    boolean sheds = policy.scheduling().overload() == SchedulingPolicy.Overload.SHED;
    this.durations = new DurationModel(sheds);
    this.queueOrder = new QueueOrder(durations, fairShareWeights, policy.scheduling());
    this.backlog = new Backlog(queueOrder);
    this.retrySchedule = sheds ? new RetrySchedule() : null;
    this.durableJobs = new DurableJobs(policy.retentionMillis(), epochMillis);
    this.workers = new WorkerRegistry(now, earlierRunsOverAt);
    this.workerSelector = new WorkerSelector(policy, durations, placementStrategy(policy));
    this.runController = new RunController(policy, new RunEventHandler());
    this.allocator =
        new TaskAllocator(termStart, jobs, workers, runController, workerSelector, queueOrder);
    this.jobCalls =
        new JobCallHandler(
            jobs, durableJobs, workers, backlog, runController, this::end, this::retryAfterMillis);
    this.sheddingState =
        sheds
            ? new SheddingState(policy.scheduling(), durations, queueOrder, fairShareWeights)
            : null;
    this.allocationRound =
        new AllocationRound(allocator, sheddingState, workers, runController, this::end);
  }

  private PlacementStrategy placementStrategy(DispatchPolicy policy) {
    return policy.usesSlackPlacement()
        ? new SlackPlacementStrategy(durations, new SlackCalculator(queueOrder), workers)
        : new FastestPlacementStrategy();
  }

  /**
   * Takes in an event and returns what must be done, in order.
   *
   * @param now the time, in microseconds on the host's steady clock; never goes back
   */
  public List<DispatchAction> step(long now, DispatchEvent event) {
    return step(now, List.of(event));
  }

  /**
   * Takes in events and returns what must be done, in order. Room is given out once, after the last
   * of them.
   *
   * @param now the time, in microseconds on the host's steady clock; never goes back
   */
  public List<DispatchAction> step(long now, List<DispatchEvent> events) {
    List<DispatchAction> out = new ArrayList<>();
    events.forEach(event -> handle(now, event, out));
    if (allocationDue && startsAllowed && handOverReason == null && mayUseWorkers()) {
      allocationDue = false;
      allocationRound.run(now, out);
    }
    durableJobs.flush(now, out);
    return out;
  }

  private boolean mayUseWorkers() {
    return (guard == null || guard.mayStart(workers.all())) && workers.drains().isKnown();
  }

  /** Tells whether the leader of a failure domain has found its workers free of others' runs. */
  public boolean usesWorkers() {
    return guard != null && guard.isSettled();
  }

  /** Returns the jobs that may have runs at work. */
  public Set<JobId> possiblyRunningJobs() {
    return jobs.possiblyRunningJobs();
  }

  private void handle(long now, DispatchEvent event, List<DispatchAction> out) {
    if (event instanceof JobSubmitted submitted) {
      submitJob(submitted, now, out);
    } else if (event instanceof JobWithdrawn withdrawn) {
      withdrawJob(jobs.find(withdrawn.job()), withdrawn.entry(), now, out);
    } else if (event instanceof EntryHostLost lost) {
      for (Job job : List.copyOf(jobs.all())) {
        withdrawJob(job, lost.entry(), now, out);
      }
    } else if (event instanceof WorkersListed list) {
      updateWorkers(list.workers(), now, out);
    } else if (event instanceof JobCallReceived call) {
      jobCalls.handle(call, now, out);
    } else if (event instanceof JobsLoaded stored) {
      jobCalls.loadJobs(stored, now, out);
      allocationDue = true;
    } else if (event instanceof BatchStored batch) {
      durableJobs.confirmBatch(batch.number(), out).forEach(jobs::markWaiting);
      allocationDue = true;
    } else if (event instanceof StartsAllowed allowed) {
      startsAllowed = allowed.allowed();
      allocationDue = true;
    } else if (event instanceof DomainsDrained drained) {
      workers.setDrainedDomains(drained.domains(), now);
      refuseUnservable(now, out);
      tick(now, out);
    } else if (event instanceof RosterLoaded roster) {
      workers.loadRoster(roster.workers(), now, out);
      refuseUnservable(now, out);
      tick(now, out);
    } else if (event instanceof RosterStored roster) {
      workers.confirmRosterChange(roster.number(), out);
      allocationDue = true;
    } else if (event instanceof TermEnded ended) {
      endTerm(ended.reason(), now, out);
    } else if (event instanceof HandOverStarted handing) {
      handOver(handing.reason(), now, out);
    } else if (event instanceof PredecessorHandedOver handed) {
      predecessorJobs = handed.retainedJobs();
      predecessorRunsUntil = now + PREDECESSOR_RUN_MICROS;
    } else if (event instanceof Tick) {
      tick(now, out);
    } else if (event instanceof WorkerEvent heard) {
      handleWorkerEvent(now, heard, out);
    }
  }

  private void handleWorkerEvent(long now, WorkerEvent event, List<DispatchAction> out) {
    updateStartWindow(event, now);
    Worker worker = workers.find(event.worker());
    if (worker == null) {
      return;
    }
    if (event instanceof RenewalAnswered renewed) {
      handleRenewal(worker, renewed, now, out);
    } else if (event instanceof RenewalFailed) {
      runController.renewalFailed(worker, false, now, out);
    } else if (event instanceof StartAnswered answered) {
      runController.startAnswered(
          worker, answered.run(), answered.sentAt(), answered.reply(), now, out);
    } else if (event instanceof StartUnanswered unanswered) {
      runController.startUnanswered(worker, unanswered.run(), unanswered.mayRun(), now, out);
    } else if (event instanceof StopEnded ended) {
      runController.stopEnded(worker, ended.run(), ended.answered(), now, out);
    }
  }

  private void handleRenewal(
      Worker worker, RenewalAnswered event, long now, List<DispatchAction> out) {
    if (event.report().isEmpty()) {
      runController.renewalFailed(worker, true, now, out);
      return;
    }
    allocationDue |= !worker.synced;
    runController.handleReport(worker, event.sentAt(), event.report().get(), now, out);
  }

  private void updateStartWindow(WorkerEvent event, long now) {
    boolean wasOpen = runController.window().isOpen();
    if (event instanceof StartAnswered answered) {
      runController.window().orderAnswered(answered.run(), now);
    } else if (event instanceof StartUnanswered unanswered) {
      runController.window().orderUnanswered(unanswered.run());
    }
    allocationDue |= !wasOpen && runController.window().isOpen();
  }

  private void submitJob(JobSubmitted event, long now, List<DispatchAction> out) {
    Job job = jobs.submit(event, now, out);
    if (job == null) {
      return;
    }
    fairShareWeights.jobArrived(job, now);
    if (handOverReason != null) {
      JobOutcome outcome = job.started ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
      end(job, outcome, handOverReason, now, out);
      return;
    }
    if (predecessorJobs.contains(job.id()) && now <= predecessorRunsUntil) {
      end(job, JobOutcome.ABANDONED, "the leader before may run it", now, out);
      return;
    }
    runController.adoptEarlierRuns(job, workers.all(), now, out);
    if (sheddingState != null) {
      sheddingState.jobSubmitted(job, now);
    }
    if (job.isComplete()) {
      end(job, JobOutcome.SUCCEEDED, "done before", now, out);
    } else if (!job.started && workers.canNeverRun(job.description(), job.requestClass())) {
      end(job, JobOutcome.FAILED, "no worker can run it", now, out);
    } else if (!refuseIfUnservable(job, now, out)) {
      allocationDue = true;
    }
  }

  /** Refuses a job that has not started and that only drained failure domains could run. */
  private boolean refuseIfUnservable(Job job, long now, List<DispatchAction> out) {
    boolean mayRefuse = !job.started && !job.isDurable();
    if (mayRefuse && workers.requiresDrainedDomain(job.description(), job.requestClass())) {
      end(job, JobOutcome.REFUSED, DomainDrains.ONLY_DRAINED_DOMAINS, now, out);
      return true;
    }
    return false;
  }

  private void refuseUnservable(long now, List<DispatchAction> out) {
    List.copyOf(jobs.all()).forEach(job -> refuseIfUnservable(job, now, out));
  }

  private void withdrawJob(Job job, String entry, long now, List<DispatchAction> out) {
    if (job != null && job.entries.remove(entry) && job.entries.isEmpty()) {
      end(job, JobOutcome.CANCELLED, "withdrawn", now, out);
    }
  }

  private void updateWorkers(List<WorkerInfo> list, long now, List<DispatchAction> out) {
    workers.updateList(list, now, out);
    refuseUnservable(now, out);
    tick(now, out);
  }

  private void tick(long now, List<DispatchAction> out) {
    for (Worker worker : workers.all()) {
      runController.tick(worker, now, out);
    }
    workers.logSettled(now, out);
    workers.logIdleDomains(out);
    if (guard != null) {
      guard
          .stepDownReason(workers.all(), now)
          .ifPresent(reason -> out.add(new DispatchAction.StepDown(reason)));
    }
    if (retrySchedule != null) {
      retrySchedule.recordDropped(overdueWork(now));
    }
    for (Job job : List.copyOf(jobs.all())) {
      expire(job, now, out);
    }
    jobs.prune(now);
    List<Job> hopeless = backlog.update(allocator.rebuildQueue(now), workers.all(), now);
    if (retrySchedule != null) {
      retrySchedule.recordBacklog(
          backlog.totalMicros() * backlog.cpuMillis(), backlog.cpuMillis(), now);
    }
    for (Job job : hopeless) {
      end(job, JobOutcome.REFUSED, "too much waits before it", now, out);
    }
    allocationDue = true;
    if (sheddingState != null) {
      sheddingState.markDue();
    }
  }

  /** Returns the work of the waiting jobs whose end is of no use any more. */
  private double overdueWork(long now) {
    return jobs.waiting().stream()
        .filter(job -> !job.started && !job.isDurable() && now > queueOrder.firmDeadline(job))
        .mapToDouble(queueOrder::waitingCpuMicros)
        .sum();
  }

  private void endTerm(String reason, long now, List<DispatchAction> out) {
    for (Job job : List.copyOf(jobs.all())) {
      JobOutcome outcome = job.started ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
      end(job, outcome, reason, now, out);
    }
  }

  private void handOver(String reason, long now, List<DispatchAction> out) {
    handOverReason = reason;
    for (Job job : List.copyOf(jobs.all())) {
      if (!job.started) {
        end(job, JobOutcome.REFUSED, reason, now, out);
      } else if (job.hasUnstartedTask()) {
        end(job, JobOutcome.ABANDONED, reason, now, out);
      }
    }
  }

  private void expire(Job job, long now, List<DispatchAction> out) {
    if (job.isDurable()) {
      return;
    }
    if (now > job.deadline) {
      JobOutcome outcome = job.started ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
      end(job, outcome, "deadline passed", now, out);
    } else if (!job.started && now > queueOrder.firmDeadline(job)) {
      end(job, JobOutcome.REFUSED, "no room in time", now, out);
    }
  }

  private void end(Job job, JobOutcome outcome, String reason, long now, List<DispatchAction> out) {
    fairShareWeights.jobEnded(
        job, outcome == JobOutcome.SUCCEEDED && queueOrder.meetsObjective(job, now), now);
    long retryAfter =
        outcome == JobOutcome.REFUSED
            ? retryAfterMillis(job.description(), job.requestClass(), now)
            : 0;
    for (Run run : jobs.end(job, outcome, reason, retryAfter, now, out)) {
      runController.stop(run, out);
    }
    if (job.isDurable()) {
      durableJobs.recordEnd(job, statusOf(outcome), now);
    }
  }

  private long retryAfterMillis(StoredJob record, long now) {
    return retryAfterMillis(record.job(), record.requestClass(), now);
  }

  /** Returns when a refused caller may come back: once the work before it is done, spread out. */
  private long retryAfterMillis(JobDescription job, RequestClass requestClass, long now) {
    if (retrySchedule != null) {
      return retrySchedule.retryAfterMillis(
          job.id(), queueOrder.predictedWork(job, requestClass), now);
    }
    long wait = MIN_RETRY_AFTER_MILLIS + (long) (backlog.totalMicros() / MICROS_PER_MILLI);
    return wait + Math.floorMod(job.id().hashCode(), wait);
  }

  private static JobStatus statusOf(JobOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> JobStatus.SUCCEEDED;
      case FAILED -> JobStatus.FAILED;
      default -> JobStatus.CANCELLED;
    };
  }

  /** Returns how many jobs have no started task, by the name of their class. */
  public Map<String, Integer> waitingJobsByClass() {
    return jobs.waitingJobsByClass();
  }

  /**
   * Returns what hosts are told about when refused callers may come back.
   *
   * @param intake the share of their new jobs that they send on
   */
  public RetryForecast retryForecast(double intake, long now) {
    return retrySchedule == null ? RetryForecast.NONE : retrySchedule.forecast(intake, now);
  }

  /** Returns the served shares of groups of callers; none unless shares are fair. */
  public Map<ServedShares.CallerGroup, Double> servedShares(long now) {
    return fairShareWeights.servedShares(now);
  }

  /** Returns what is known now, in figures. */
  public DispatchSnapshot snapshot(long now) {
    SnapshotCounts census = new SnapshotCounts(workers.all(), now);
    return new DispatchSnapshot(
        census.workers(),
        census.runs(runController.window()),
        workers.drains().snapshot(workers.all()),
        workerSelector.stats(runController.window()),
        startsAllowed,
        workers.isSettled(now),
        jobs.waiting().size(),
        (long) backlog.totalMicros(),
        sheddingState == null ? 0 : sheddingState.displacedJobs(),
        sheddingState == null ? Map.of() : sheddingState.shedByClass());
  }

  /** What the ends of runs mean for their jobs. */
  private final class RunEventHandler implements RunListener {

    @Override
    public void jobStarted(Job job, long now) {
      fairShareWeights.jobStarted(job, now);
      if (retrySchedule != null) {
        retrySchedule.recordStarted(
            queueOrder.predictedWork(job.description(), job.requestClass()));
      }
    }

    @Override
    public void runDone(Run run, long now, List<DispatchAction> out) {
      run.worker.recordSuccess();
      if (sheddingState != null) {
        sheddingState.runDone(run, workers.all(), now);
      }
      workerSelector.recordCompletion(run, now);
      allocationDue = true;
      taskDone(run.task, now, out);
    }

    private void taskDone(Task task, long now, List<DispatchAction> out) {
      Job job = task.job;
      if (jobs.find(job.id()) != job) {
        return;
      }
      job.markDone(task);
      recordProgress(job, now);
      if (job.isComplete()) {
        end(job, JobOutcome.SUCCEEDED, "done", now, out);
      } else {
        jobs.markWaiting(job);
      }
    }

    @Override
    public void runFailed(Run run, long now, List<DispatchAction> out) {
      allocationDue = true;
      Task task = run.task;
      out.add(new Log(LogEvent.RUN_FAILED, RunController.describe(run)));
      if (!task.job.hasFailures() && run.worker.recordFailure(now)) {
        out.add(new Log(LogEvent.WORKER_EJECTED, "worker=" + run.worker.id() + " fails runs"));
      }
      taskFailed(task, run.ref.number(), run.worker.id(), now, out);
    }

    private void taskFailed(Task task, int run, String worker, long now, List<DispatchAction> out) {
      Job job = task.job;
      task.noteFailure(run);
      task.lastFailedWorker = worker;
      if (jobs.find(job.id()) != job) {
        return;
      }
      recordProgress(job, now);
      int failed = task.failures();
      if (failed >= job.requestClass().attempts()) {
        end(job, JobOutcome.FAILED, "a task failed " + failed + " times", now, out);
      } else {
        jobs.markWaiting(job);
      }
    }

    private void recordProgress(Job job, long now) {
      if (job.isDurable()) {
        durableJobs.recordProgress(job, now);
      }
    }

    @Override
    public void earlierRunFailed(
        Task task, RunRef run, String worker, long now, List<DispatchAction> out) {
      if (task.done || task.hasFailed(run.number())) {
        return;
      }
      out.add(new Log(LogEvent.RUN_FAILED, "run=" + run + " of an earlier leader"));
      taskFailed(task, run.number(), worker, now, out);
    }

    @Override
    public Job findEndingJob(JobId id) {
      return durableJobs.findEnding(id);
    }

    @Override
    public void completionHeld(Job job, long now) {
      recordProgress(job, now);
    }

    @Override
    public boolean areDurableJobsLoaded() {
      return durableJobs.isLoaded();
    }

    @Override
    public void runStalled(Run run, long now, List<DispatchAction> out) {
      run.task.lastFailedWorker = run.worker.id();
      if (run.worker.recordFailure(now)) {
        out.add(new Log(LogEvent.WORKER_EJECTED, "worker=" + run.worker.id() + " stalls"));
      }
    }

    @Override
    public void runLost(Run run, String why, long now, List<DispatchAction> out) {
      allocationDue = true;
      out.add(new Log(LogEvent.RUN_LOST, RunController.describe(run) + " why=" + why));
      jobs.markWaiting(run.task.job);
    }

    @Override
    public Task findTask(RunRef ref) {
      Job job = jobs.find(ref.task().job());
      return job == null ? null : job.task(ref.task().step(), ref.task().index());
    }

    @Override
    public void earlierRunDone(Task task, long now, List<DispatchAction> out) {
      if (task.run != null) {
        runController.stop(task.run, out);
      }
      taskDone(task, now, out);
    }

    @Override
    public boolean acceptsResubmissions(long now) {
      return now - termStart < RESUBMISSION_MICROS;
    }
  }
}
