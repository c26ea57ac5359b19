package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchEvent.BatchRefused;
import org.marjoramhoist.dispatch.DispatchEvent.BatchStored;
import org.marjoramhoist.dispatch.DispatchEvent.DomainsDrained;
import org.marjoramhoist.dispatch.DispatchEvent.DomainsShared;
import org.marjoramhoist.dispatch.DispatchEvent.EntryHostLost;
import org.marjoramhoist.dispatch.DispatchEvent.EntryHostReconnected;
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
 * The scheduling decisions of a partition's leader during one term.
 *
 * <p>Invariants: at most one run of a task may be running at any time; no task of a refused job was
 * started. Confined to one thread.
 */
public final class Dispatcher {

  /** How long after the start of a term entry hosts may resubmit the jobs of a previous leader. */
  static final long RESUBMISSION_MICROS = 1_000_000;

  /**
   * How long runs of a failure domain's leader may continue after it has handed over: the period in
   * which it renews them, a lease of 1 s, and 0.3 s for clock error and delayed orders.
   */
  private static final long PREDECESSOR_RUN_MICROS = 2_300_000;

  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private final long termStart;

  /** Null unless this leader leads only a failure domain. */
  private final DomainWorkerGuard guard;

  private final DurationModel durations;
  private final SlowWorkerAvoidance slowWorkers;
  private final WorkerSelector workerSelector;
  private final FairShareWeights fairShareWeights;
  private final QueueOrder queueOrder;
  private final Backlog backlog;

  /** Null unless load shedding is enabled. */
  private final RetrySchedule retrySchedule;

  private final WorkerRegistry workerRegistry;
  private final TaskAllocator allocator;
  private final JobRegistry jobs;
  private final SuspectTasks suspects = new SuspectTasks();
  private final ProcessEnds processEnds = new ProcessEnds();
  private final WorkerLossHandler workerLosses;
  private final TaskOutcomes taskOutcomes;
  private final ExclusiveStarts exclusiveStarts;

  /** Null unless load shedding is enabled. */
  private final SheddingState sheddingState;

  private final RunController runController;
  private final DurableJobs durableJobs;
  private final JobCallHandler jobCalls;
  private final Withdrawals withdrawals;
  private final AllocationRound allocationRound;
  private Set<JobId> predecessorJobs = Set.of();
  private long predecessorRunsUntil;
  private boolean allocationDue;
  private boolean startsAllowed = true;

  /** Why this leader hands over leadership, for the replies; null if it does not. */
  private String handOverReason;

  /**
   * Creates the dispatcher of a term.
   *
   * @param policy bounds and timeouts
   * @param now the start of the term
   * @param earlierRunsExpireAt when every run that a previous leader ordered has ended or expired,
   *     even on an unreachable worker
   * @param epochMillis the time since 1970, in milliseconds, at which the steady clock was 0
   */
  public Dispatcher(DispatchPolicy policy, long now, long earlierRunsExpireAt, long epochMillis) {
    // Entry hosts resubmit no jobs to the leader of an isolated failure domain.
    this.termStart = policy.leadsDomain() ? now - RESUBMISSION_MICROS : now;
    boolean succeedsLeader = policy.scope() == DispatchPolicy.Scope.DOMAIN_SUCCESSOR;
    this.guard = policy.leadsDomain() ? new DomainWorkerGuard(now, succeedsLeader) : null;
    this.fairShareWeights = new FairShareWeights(policy.scheduling().fairShares(), now);
    this.jobs =
        new JobRegistry(policy.scheduling().maxOpenTasks(), policy.scheduling().maxOpenBytes());
    boolean shedsLoad = policy.scheduling().overload() == SchedulingPolicy.Overload.SHED;
    this.durations = new DurationModel(shedsLoad);
    this.queueOrder = new QueueOrder(durations, fairShareWeights, policy.scheduling());
    this.backlog = new Backlog(queueOrder);
    this.retrySchedule = shedsLoad ? new RetrySchedule() : null;
    this.durableJobs = new DurableJobs(policy.retentionMillis(), epochMillis);
    this.workerRegistry = new WorkerRegistry(now, earlierRunsExpireAt);
    this.slowWorkers = new SlowWorkerAvoidance(queueOrder);
    this.workerSelector =
        new WorkerSelector(policy, durations, placementStrategy(policy), slowWorkers);
    this.runController = new RunController(policy, new RunEventHandler());
    this.exclusiveStarts =
        new ExclusiveStarts(
            suspects, jobs, workerRegistry, runController, workerSelector, processEnds);
    this.allocator =
        new TaskAllocator(
            termStart,
            jobs,
            workerRegistry,
            runController,
            workerSelector,
            queueOrder,
            exclusiveStarts);
    this.workerLosses =
        new WorkerLossHandler(
            suspects, jobs, workerRegistry, runController, durableJobs, this::end, processEnds);
    this.taskOutcomes = new TaskOutcomes(jobs, suspects, workerRegistry, durableJobs, this::end);
    this.withdrawals = new Withdrawals(jobs, this::end);
    this.jobCalls =
        new JobCallHandler(
            jobs,
            durableJobs,
            workerRegistry,
            backlog,
            runController,
            this::end,
            this::retryAfterMillis);
    this.sheddingState =
        shedsLoad
            ? new SheddingState(policy.scheduling(), durations, queueOrder, fairShareWeights)
            : null;
    this.allocationRound =
        new AllocationRound(allocator, sheddingState, workerRegistry, runController, this::end);
  }

  private PlacementStrategy placementStrategy(DispatchPolicy policy) {
    return policy.usesSlackPlacement()
        ? new SlackPlacementStrategy(durations, new SlackCalculator(queueOrder), workerRegistry)
        : new FastestPlacementStrategy();
  }

  /**
   * Handles an event and returns the resulting actions, in order.
   *
   * @param now the time, in microseconds on the host's steady clock; never decreases
   */
  public List<DispatchAction> step(long now, DispatchEvent event) {
    return step(now, List.of(event));
  }

  /**
   * Handles events and returns the resulting actions, in order. Capacity is allocated once, after
   * the last event.
   *
   * @param now the time, in microseconds on the host's steady clock; never decreases
   */
  public List<DispatchAction> step(long now, List<DispatchEvent> events) {
    List<DispatchAction> out = new ArrayList<>();
    events.forEach(event -> handle(now, event, out));
    if (allocationDue && startsAllowed && handOverReason == null && mayUseWorkers()) {
      allocationDue = false;
      slowWorkers.update(workerRegistry.all());
      allocationRound.run(now, out);
    }
    durableJobs.flush(now, out);
    return out;
  }

  private boolean mayUseWorkers() {
    return (guard == null || guard.mayStart(workerRegistry.all()))
        && workerRegistry.drains().isKnown();
  }

  /**
   * Tells whether the leader of a failure domain has verified that no other leader uses its
   * workers.
   */
  public boolean usesWorkers() {
    return guard != null && guard.isSettled();
  }

  /** Returns the workers on which the lease of any other leader is known to have lapsed. */
  public Set<String> workersWithoutForeignLease() {
    return workerRegistry.withoutForeignLease();
  }

  /** Returns the jobs that may have running tasks. */
  public Set<JobId> possiblyRunningJobs() {
    return jobs.possiblyRunningJobs();
  }

  private void handle(long now, DispatchEvent event, List<DispatchAction> out) {
    if (event instanceof JobSubmitted submitted) {
      submitJob(submitted, now, out);
    } else if (event instanceof JobWithdrawn withdrawn) {
      withdrawals.jobWithdrawn(withdrawn, now, out);
    } else if (event instanceof EntryHostReconnected host) {
      withdrawals.hostReconnected(host, now, out);
    } else if (event instanceof EntryHostLost lost) {
      withdrawals.hostLost(lost, now, out);
    } else if (event instanceof WorkersListed list) {
      updateWorkers(list.workers(), now, out);
    } else if (event instanceof JobCallReceived call) {
      jobCalls.handle(call, now, out);
    } else if (event instanceof JobsLoaded stored) {
      jobCalls.loadJobs(stored, now, out);
      for (Job job : List.copyOf(jobs.all())) {
        workerLosses.jobLoaded(job, now, out);
      }
      allocationDue = true;
    } else if (event instanceof BatchStored batch) {
      jobCalls.handleStoredBatch(batch.number(), now, out);
      allocationDue = true;
    } else if (event instanceof BatchRefused batch) {
      durableJobs.refuseBatch(batch, now);
    } else if (event instanceof StartsAllowed allowed) {
      startsAllowed = allowed.allowed();
      allocationDue = true;
    } else if (event instanceof DomainsDrained drained) {
      workerRegistry.setDrainedDomains(drained.domains(), now);
      refuseUnservable(now, out);
      tick(now, out);
    } else if (event instanceof DomainsShared shared) {
      workerRegistry.setSharedDomains(shared.domains(), now);
      allocationDue = true;
    } else if (event instanceof RosterLoaded roster) {
      workerRegistry.loadRoster(roster.workers(), now, out);
      refuseUnservable(now, out);
      tick(now, out);
    } else if (event instanceof RosterStored roster) {
      workerRegistry.confirmRosterChange(roster.number(), out);
      allocationDue = true;
    } else if (event instanceof TermEnded ended) {
      endTerm(ended.reason(), now, out);
    } else if (event instanceof HandOverStarted started) {
      handOver(started.reason(), now, out);
    } else if (event instanceof PredecessorHandedOver predecessor) {
      predecessorJobs = predecessor.retainedJobs();
      workerRegistry.inheritLapses(predecessor.workersInUse());
      predecessorRunsUntil = now + PREDECESSOR_RUN_MICROS;
    } else if (event instanceof Tick) {
      tick(now, out);
    } else if (event instanceof WorkerEvent workerEvent) {
      handleWorkerEvent(now, workerEvent, out);
    }
  }

  private void handleWorkerEvent(long now, WorkerEvent event, List<DispatchAction> out) {
    updateStartWindow(event, now);
    Worker worker = workerRegistry.find(event.worker());
    if (worker == null) {
      return;
    }
    if (event instanceof RenewalAnswered renewed) {
      handleRenewal(worker, renewed, now, out);
    } else if (event instanceof RenewalFailed failed) {
      runController.renewalFailed(worker, failed.failure(), now, out);
    } else if (event instanceof StartAnswered answered) {
      runController.startAnswered(
          worker, answered.run(), answered.sentAt(), answered.reply(), now, out);
    } else if (event instanceof StartUnanswered unanswered) {
      runController.startUnanswered(worker, unanswered, now, out);
    } else if (event instanceof StopEnded ended) {
      runController.stopEnded(worker, ended.run(), ended.answered(), now, out);
    }
  }

  private void handleRenewal(
      Worker worker, RenewalAnswered event, long now, List<DispatchAction> out) {
    if (event.report().isEmpty()) {
      runController.otherProcessAnswered(worker, now, out);
      return;
    }
    allocationDue |= !worker.synced || !worker.foreignLease.hasLapsed();
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
      end(job, job.outcomeIfGivenUp(), handOverReason, now, out);
      return;
    }
    Optional<String> lack = jobs.lackOfRoom(job, durableJobs.endedBytes());
    if (!job.started && lack.isPresent()) {
      end(job, job.outcomeIfGivenUp(), lack.get(), now, out);
      return;
    }
    if (predecessorJobs.contains(job.id()) && now <= predecessorRunsUntil) {
      end(job, JobOutcome.ABANDONED, "the previous leader may be running it", now, out);
      return;
    }
    if (guard != null && mayFillWorkersOfOtherLeader(job)) {
      end(job, job.outcomeIfGivenUp(), "another leader may use the workers", now, out);
      return;
    }
    suspects.attach(job, List.of(), now);
    runController.adoptEarlierRuns(job, workerRegistry.all(), now, out);
    if (sheddingState != null) {
      sheddingState.jobSubmitted(job, now);
    }
    if (job.isComplete()) {
      end(job, JobOutcome.SUCCEEDED, "completed under a previous leader", now, out);
    } else if (!job.started
        && workerRegistry.fitsNoKnownWorker(job.description(), job.requestClass(), now)) {
      endImpossible(job, now, out);
    } else if (!refuseIfUnservable(job, now, out)) {
      workerLosses.reconsider(job, now, out);
      allocationDue = true;
    }
  }

  /** Returns whether workers would start the job's tasks beyond what another leader left free. */
  private boolean mayFillWorkersOfOtherLeader(Job job) {
    return job.requestClass().startsBeyondCapacity() && workerRegistry.isAnyShared();
  }

  /**
   * Ends a job that no known worker could ever run: as failed if there are no others, otherwise as
   * refused. The leader of a failure domain does not know the workers of other domains.
   */
  private void endImpossible(Job job, long now, List<DispatchAction> out) {
    String known = workerRegistry.describeKnown(now);
    if (guard != null) {
      end(job, JobOutcome.REFUSED, "no worker of the failure domain can run it", now, out);
    } else if (workerRegistry.areAllKnown(now)) {
      end(job, JobOutcome.FAILED, "no worker can run it: " + known, now, out);
    } else {
      end(job, JobOutcome.REFUSED, "no worker known so far can run it: " + known, now, out);
    }
  }

  /** Refuses a job that has not started and that only drained failure domains could run. */
  private boolean refuseIfUnservable(Job job, long now, List<DispatchAction> out) {
    boolean mayRefuse = !job.started && !job.isDurable();
    if (mayRefuse && workerRegistry.requiresDrainedDomain(job.description(), job.requestClass())) {
      end(job, JobOutcome.REFUSED, DomainDrains.ONLY_DRAINED_DOMAINS, now, out);
      return true;
    }
    return false;
  }

  private void refuseUnservable(long now, List<DispatchAction> out) {
    List.copyOf(jobs.all()).forEach(job -> refuseIfUnservable(job, now, out));
  }

  private void updateWorkers(List<WorkerInfo> list, long now, List<DispatchAction> out) {
    workerRegistry.updateList(list, now, out);
    refuseUnservable(now, out);
    tick(now, out);
  }

  private void tick(long now, List<DispatchAction> out) {
    for (Worker worker : workerRegistry.all()) {
      runController.tick(worker, now, out);
    }
    workerLosses.tick(now, out);
    runController.unansweredStarts().prune(id -> jobs.find(id) != null);
    workerRegistry.logSettled(now, out);
    workerRegistry.logIdleDomains(out);
    if (guard != null) {
      guard
          .stepDownReason(workerRegistry.all(), now)
          .ifPresent(reason -> out.add(new DispatchAction.StepDown(reason)));
    }
    if (retrySchedule != null) {
      retrySchedule.recordDropped(overdueWork(now));
    }
    for (Job job : List.copyOf(jobs.all())) {
      expire(job, now, out);
    }
    jobs.prune(now);
    List<Job> lateJobs = backlog.update(allocator.rebuildQueue(now), workerRegistry.all(), now);
    if (retrySchedule != null) {
      retrySchedule.recordBacklog(
          backlog.totalMicros() * backlog.cpuMillis(), backlog.cpuMillis(), now);
    }
    for (Job job : lateJobs) {
      end(job, JobOutcome.REFUSED, "too much waits before it", now, out);
    }
    allocationDue = true;
    if (sheddingState != null) {
      sheddingState.markDue();
    }
  }

  /** Returns the work of the waiting jobs that have passed their firm deadline. */
  private double overdueWork(long now) {
    return jobs.waiting().stream()
        .filter(job -> !job.started && !job.isDurable() && now > queueOrder.firmDeadline(job))
        .mapToDouble(queueOrder::waitingWork)
        .sum();
  }

  private void endTerm(String reason, long now, List<DispatchAction> out) {
    for (Job job : List.copyOf(jobs.all())) {
      end(job, job.outcomeIfGivenUp(), reason, now, out);
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
      end(job, job.outcomeIfGivenUp(), "deadline passed", now, out);
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

  /**
   * Returns the delay after which the caller of a refused job may retry. It grows with the backlog
   * and is spread by job, so that callers do not retry at the same time.
   */
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

  /**
   * Returns the number of jobs without a started task, by class name; empty if the stored jobs are
   * not loaded yet.
   */
  public Optional<Map<String, Integer>> waitingJobsByClass() {
    return durableJobs.isLoaded() ? Optional.of(jobs.waitingJobsByClass()) : Optional.empty();
  }

  /**
   * Returns the forecast from which hosts compute when refused callers may retry.
   *
   * @param admittedShare the share of their new jobs that hosts submit
   */
  public RetryForecast retryForecast(double admittedShare, long now) {
    return retrySchedule == null ? RetryForecast.NONE : retrySchedule.forecast(admittedShare, now);
  }

  /** Returns the served shares of caller groups; empty unless fair shares are enabled. */
  public Map<ServedShares.CallerGroup, Double> servedShares(long now) {
    return fairShareWeights.servedShares(now);
  }

  /** Returns the current counts for logs and metrics. */
  public DispatchSnapshot snapshot(long now) {
    SnapshotCounts counts = new SnapshotCounts(workerRegistry.all(), now);
    return new DispatchSnapshot(
        counts.workers(),
        counts.runs(runController.window()),
        workerRegistry.drains().snapshot(workerRegistry.all()),
        workerSelector.stats(runController.window()),
        new DispatchSnapshot.Suspects(
            suspects.count(TaskLosses.Handling.EXCLUSIVE, now),
            suspects.count(TaskLosses.Handling.HELD, now),
            exclusiveStarts.reservedWorkers()),
        runController.unansweredStarts().count(),
        startsAllowed,
        workerRegistry.isSettled(now),
        jobs.waiting().size(),
        (long) backlog.totalMicros(),
        sheddingState == null ? 0 : sheddingState.displacedJobs(),
        sheddingState == null ? Map.of() : sheddingState.shedByClass());
  }

  /** Updates jobs, workers and statistics when the state of a run changes. */
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
      run.worker.recordSuccess(run, now);
      if (sheddingState != null) {
        sheddingState.runDone(run, workerRegistry.all(), now);
      }
      workerSelector.recordCompletion(run, now);
      allocationDue = true;
      taskOutcomes.done(run.task, now, out);
    }

    @Override
    public void runFailed(Run run, long now, List<DispatchAction> out) {
      allocationDue = true;
      Task task = run.task;
      out.add(new Log(LogEvent.RUN_FAILED, RunController.describe(run)));
      if (!task.job.hasFailures() && run.worker.recordFailure(now)) {
        out.add(new Log(LogEvent.WORKER_EJECTED, "worker=" + run.worker.id() + " fails runs"));
      }
      taskOutcomes.failed(task, run.ref.number(), run.worker.id(), now, out);
    }

    @Override
    public void earlierRunFailed(
        Task task, RunRef run, String worker, long now, List<DispatchAction> out) {
      if (task.done || task.hasFailedRun(run.number())) {
        return;
      }
      out.add(new Log(LogEvent.RUN_FAILED, "run=" + run + " of a previous leader"));
      taskOutcomes.failed(task, run.number(), worker, now, out);
    }

    @Override
    public boolean isOfPredecessor(JobId id) {
      return predecessorJobs.contains(id);
    }

    @Override
    public boolean hasHandedOver() {
      return handOverReason != null;
    }

    @Override
    public Job findEndingJob(JobId id) {
      return durableJobs.findEnding(id);
    }

    @Override
    public void completionHeld(Job job, long now) {
      durableJobs.recordProgress(job, now);
    }

    @Override
    public boolean areDurableJobsLoaded() {
      return durableJobs.isLoaded();
    }

    @Override
    public void runStalled(Run run, long now, List<DispatchAction> out) {
      taskOutcomes.avoid(run.task, run.worker.id(), now);
      if (run.worker.recordFailure(now)) {
        out.add(new Log(LogEvent.WORKER_EJECTED, "worker=" + run.worker.id() + " stalls"));
      }
    }

    @Override
    public void runLost(Run run, LossCause cause, long now, List<DispatchAction> out) {
      allocationDue = true;
      if (run.isLostWithWorker(cause)) {
        workerLosses.runLost(run, now, out);
      }
      out.add(new Log(LogEvent.RUN_LOST, describeLoss(run, cause, now)));
      jobs.markWaiting(run.task.job);
    }

    @Override
    public void workerRefuses(Worker worker, long now, List<DispatchAction> out) {
      workerLosses.workerRefuses(worker, now, out);
    }

    @Override
    public void workerExplained(
        Worker worker, boolean crashed, long now, List<DispatchAction> out) {
      allocationDue |= workerLosses.workerExplained(worker, crashed, now, out);
    }

    private String describeLoss(Run run, LossCause cause, long now) {
      return RunController.describe(run)
          + " why="
          + cause
          + " failure="
          + run.worker.lastFailure
          + " replaced="
          + run.worker.replaced
          + " ageMicros="
          + (now - run.orderedAt)
          + " workersLost="
          + (run.task.losses == null ? 0 : run.task.losses.all().size());
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
      taskOutcomes.done(task, now, out);
    }

    @Override
    public boolean acceptsResubmissions(long now) {
      return now - termStart < RESUBMISSION_MICROS;
    }
  }
}
