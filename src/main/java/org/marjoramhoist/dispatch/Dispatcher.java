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
  static final long CLAIM_MICROS = 1_000_000;

  /**
   * How long a leader of a failure domain may have runs at work after it has handed over: the time
   * in which it renews them, a lease of 1 s, and 0.3 s for clocks and late orders.
   */
  private static final long KEPT_MICROS = 2_300_000;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private final long since;

  /** Null unless this leads only a failure domain. */
  private final DomainGuard guard;

  private final DurationModel durations;
  private final WorkerSelector placement;
  private final FairShareWeights weights;
  private final QueueOrder order;
  private final Backlog backlog;

  /** Null unless what can't be in time is shed. */
  private final RetrySchedule returns;

  private final WorkerRegistry workers;
  private final TaskAllocator allocator;
  private final JobRegistry jobs = new JobRegistry();

  /** Null unless jobs make way when not all can be in time. */
  private final SheddingState shedding;

  private final RunController runs;
  private final DurableJobs durable;
  private final JobCallHandler calls;
  private final AllocationRound allocation;
  private Set<JobId> keptBefore = Set.of();
  private long keptUntil;
  private boolean mayPlace;
  private boolean startsAllowed = true;

  /** Why this leader hands over, for the answers; null if it does not. */
  private String handingOver;

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
    this.since = policy.leadsDomain() ? now - CLAIM_MICROS : now;
    boolean handedOver = policy.scope() == DispatchPolicy.Scope.DOMAIN_SUCCESSOR;
    this.guard = policy.leadsDomain() ? new DomainGuard(now, handedOver) : null;
    this.weights = new FairShareWeights(policy.scheduling().fairShares(), now);
    boolean sheds = policy.scheduling().overload() == SchedulingPolicy.Overload.SHED;
    this.durations = new DurationModel(sheds);
    this.order = new QueueOrder(durations, weights, policy.scheduling());
    this.backlog = new Backlog(order);
    this.returns = sheds ? new RetrySchedule() : null;
    this.durable = new DurableJobs(policy.retentionMillis(), epochMillis);
    this.workers = new WorkerRegistry(now, earlierRunsOverAt);
    this.placement = new WorkerSelector(policy, durations, placementRule(policy));
    this.runs = new RunController(policy, new Ends());
    this.allocator = new TaskAllocator(since, jobs, workers, runs, placement, order);
    this.calls =
        new JobCallHandler(
            jobs, durable, workers, backlog, runs, this::end, this::retryAfterMillis);
    this.shedding =
        sheds ? new SheddingState(policy.scheduling(), durations, order, weights) : null;
    this.allocation = new AllocationRound(allocator, shedding, workers, runs, this::end);
  }

  private PlacementStrategy placementRule(DispatchPolicy policy) {
    return policy.usesSlackPlacement()
        ? new SlackPlacementStrategy(durations, new SlackCalculator(order), workers)
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
    events.forEach(event -> take(now, event, out));
    if (mayPlace && startsAllowed && handingOver == null && mayUseWorkers()) {
      mayPlace = false;
      allocation.run(now, out);
    }
    durable.flush(now, out);
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

  private void take(long now, DispatchEvent event, List<DispatchAction> out) {
    if (event instanceof JobSubmitted submitted) {
      submitted(submitted, now, out);
    } else if (event instanceof JobWithdrawn withdrawn) {
      withdrawn(jobs.find(withdrawn.job()), withdrawn.entry(), now, out);
    } else if (event instanceof EntryHostLost lost) {
      for (Job job : List.copyOf(jobs.all())) {
        withdrawn(job, lost.entry(), now, out);
      }
    } else if (event instanceof WorkersListed list) {
      workersListed(list.workers(), now, out);
    } else if (event instanceof JobCallReceived call) {
      calls.called(call, now, out);
    } else if (event instanceof JobsLoaded stored) {
      calls.jobsLoaded(stored, now, out);
      mayPlace = true;
    } else if (event instanceof BatchStored batch) {
      durable.batchStored(batch.number(), out).forEach(jobs::markWaiting);
      mayPlace = true;
    } else if (event instanceof StartsAllowed allowed) {
      startsAllowed = allowed.allowed();
      mayPlace = true;
    } else if (event instanceof DomainsDrained drained) {
      workers.drain(drained.domains(), now);
      refuseUnservable(now, out);
      tick(now, out);
    } else if (event instanceof RosterLoaded roster) {
      workers.rosterLoaded(roster.workers(), now, out);
      refuseUnservable(now, out);
      tick(now, out);
    } else if (event instanceof RosterStored roster) {
      workers.rosterStored(roster.number(), out);
      mayPlace = true;
    } else if (event instanceof TermEnded ended) {
      termEnded(ended.reason(), now, out);
    } else if (event instanceof HandOverStarted handing) {
      handOver(handing.reason(), now, out);
    } else if (event instanceof PredecessorHandedOver handed) {
      keptBefore = handed.retainedJobs();
      keptUntil = now + KEPT_MICROS;
    } else if (event instanceof Tick) {
      tick(now, out);
    } else if (event instanceof WorkerEvent heard) {
      fromWorker(now, heard, out);
    }
  }

  private void fromWorker(long now, WorkerEvent event, List<DispatchAction> out) {
    noteStart(event, now);
    Worker worker = workers.find(event.worker());
    if (worker == null) {
      return;
    }
    if (event instanceof RenewalAnswered renewed) {
      renewed(worker, renewed, now, out);
    } else if (event instanceof RenewalFailed) {
      runs.renewalFailed(worker, false, now, out);
    } else if (event instanceof StartAnswered answered) {
      runs.startAnswered(worker, answered.run(), answered.sentAt(), answered.reply(), now, out);
    } else if (event instanceof StartUnanswered unanswered) {
      runs.startUnanswered(worker, unanswered.run(), unanswered.mayRun(), now, out);
    } else if (event instanceof StopEnded ended) {
      runs.stopEnded(worker, ended.run(), ended.answered(), now, out);
    }
  }

  private void renewed(Worker worker, RenewalAnswered event, long now, List<DispatchAction> out) {
    if (event.report().isEmpty()) {
      runs.renewalFailed(worker, true, now, out);
      return;
    }
    mayPlace |= !worker.synced;
    runs.renewed(worker, event.sentAt(), event.report().get(), now, out);
  }

  private void noteStart(WorkerEvent event, long now) {
    boolean wasOpen = runs.window().isOpen();
    if (event instanceof StartAnswered answered) {
      runs.window().answered(answered.run(), now);
    } else if (event instanceof StartUnanswered unanswered) {
      runs.window().unanswered(unanswered.run());
    }
    mayPlace |= !wasOpen && runs.window().isOpen();
  }

  private void submitted(JobSubmitted event, long now, List<DispatchAction> out) {
    Job job = jobs.submit(event, now, out);
    if (job == null) {
      return;
    }
    weights.jobArrived(job, now);
    if (handingOver != null) {
      JobOutcome outcome = job.started ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
      end(job, outcome, handingOver, now, out);
      return;
    }
    if (keptBefore.contains(job.id()) && now <= keptUntil) {
      end(job, JobOutcome.ABANDONED, "the leader before may run it", now, out);
      return;
    }
    runs.claimEarlier(job, workers.all(), now, out);
    if (shedding != null) {
      shedding.jobSubmitted(job, now);
    }
    if (job.isComplete()) {
      end(job, JobOutcome.SUCCEEDED, "done before", now, out);
    } else if (!job.started && workers.canNeverRun(job.description(), job.requestClass())) {
      end(job, JobOutcome.FAILED, "no worker can run it", now, out);
    } else if (!refuseIfUnservable(job, now, out)) {
      mayPlace = true;
    }
  }

  /** Refuses a job that has not started and that only drained failure domains could run. */
  private boolean refuseIfUnservable(Job job, long now, List<DispatchAction> out) {
    boolean mayRefuse = !job.started && !job.isDurable();
    if (mayRefuse && workers.mustAwaitDrained(job.description(), job.requestClass())) {
      end(job, JobOutcome.REFUSED, Drains.NO_OTHER_DOMAIN, now, out);
      return true;
    }
    return false;
  }

  private void refuseUnservable(long now, List<DispatchAction> out) {
    List.copyOf(jobs.all()).forEach(job -> refuseIfUnservable(job, now, out));
  }

  private void withdrawn(Job job, String entry, long now, List<DispatchAction> out) {
    if (job != null && job.entries.remove(entry) && job.entries.isEmpty()) {
      end(job, JobOutcome.CANCELLED, "withdrawn", now, out);
    }
  }

  private void workersListed(List<WorkerInfo> list, long now, List<DispatchAction> out) {
    workers.listRead(list, now, out);
    refuseUnservable(now, out);
    tick(now, out);
  }

  private void tick(long now, List<DispatchAction> out) {
    for (Worker worker : workers.all()) {
      runs.tick(worker, now, out);
    }
    workers.logSettled(now, out);
    workers.logIdleDomains(out);
    if (guard != null) {
      guard
          .reasonToGiveUp(workers.all(), now)
          .ifPresent(reason -> out.add(new DispatchAction.StepDown(reason)));
    }
    if (returns != null) {
      returns.recordDropped(workOverdue(now));
    }
    for (Job job : List.copyOf(jobs.all())) {
      expire(job, now, out);
    }
    jobs.prune(now);
    List<Job> hopeless = backlog.update(allocator.rebuildQueue(now), workers.all(), now);
    if (returns != null) {
      returns.recordBacklog(backlog.totalMicros() * backlog.cpuMillis(), backlog.cpuMillis(), now);
    }
    for (Job job : hopeless) {
      end(job, JobOutcome.REFUSED, "too much waits before it", now, out);
    }
    mayPlace = true;
    if (shedding != null) {
      shedding.markDue();
    }
  }

  /** Returns the work of the waiting jobs whose end is of no use any more. */
  private double workOverdue(long now) {
    return jobs.waiting().stream()
        .filter(job -> !job.started && !job.isDurable() && now > order.firmDeadline(job))
        .mapToDouble(order::waitingCpuMicros)
        .sum();
  }

  private void termEnded(String reason, long now, List<DispatchAction> out) {
    for (Job job : List.copyOf(jobs.all())) {
      JobOutcome outcome = job.started ? JobOutcome.ABANDONED : JobOutcome.REFUSED;
      end(job, outcome, reason, now, out);
    }
  }

  private void handOver(String reason, long now, List<DispatchAction> out) {
    handingOver = reason;
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
    } else if (!job.started && now > order.firmDeadline(job)) {
      end(job, JobOutcome.REFUSED, "no room in time", now, out);
    }
  }

  private void end(Job job, JobOutcome outcome, String reason, long now, List<DispatchAction> out) {
    weights.jobEnded(job, outcome == JobOutcome.SUCCEEDED && order.meetsObjective(job, now), now);
    long retryAfter =
        outcome == JobOutcome.REFUSED
            ? retryAfterMillis(job.description(), job.requestClass(), now)
            : 0;
    for (Run run : jobs.end(job, outcome, reason, retryAfter, now, out)) {
      runs.stop(run, out);
    }
    if (job.isDurable()) {
      durable.ended(job, statusOf(outcome), now);
    }
  }

  private long retryAfterMillis(StoredJob record, long now) {
    return retryAfterMillis(record.job(), record.requestClass(), now);
  }

  /** Returns when a refused caller may come back: once the work before it is done, spread out. */
  private long retryAfterMillis(JobDescription job, RequestClass requestClass, long now) {
    if (returns != null) {
      return returns.retryAfterMillis(job.id(), order.predictedWork(job, requestClass), now);
    }
    long wait = RETRY_AFTER_MILLIS + (long) (backlog.totalMicros() / MICROS_PER_MILLI);
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
    return returns == null ? RetryForecast.NONE : returns.forecast(intake, now);
  }

  /** Returns the served shares of groups of callers; none unless shares are fair. */
  public Map<ServedShares.CallerGroup, Double> servedShares(long now) {
    return weights.servedShares(now);
  }

  /** Returns what is known now, in figures. */
  public DispatchSnapshot snapshot(long now) {
    Census census = new Census(workers.all(), now);
    return new DispatchSnapshot(
        census.workers(),
        census.runs(runs.window()),
        workers.drains().snapshot(workers.all()),
        placement.stats(runs.window()),
        startsAllowed,
        workers.isSettled(now),
        jobs.waiting().size(),
        (long) backlog.totalMicros(),
        shedding == null ? 0 : shedding.displacedJobs(),
        shedding == null ? Map.of() : shedding.shedByClass());
  }

  /** What the ends of runs mean for their jobs. */
  private final class Ends implements RunListener {

    @Override
    public void jobStarted(Job job, long now) {
      weights.jobStarted(job, now);
      if (returns != null) {
        returns.recordStarted(order.predictedWork(job.description(), job.requestClass()));
      }
    }

    @Override
    public void runDone(Run run, long now, List<DispatchAction> out) {
      run.worker.succeeded();
      if (shedding != null) {
        shedding.runDone(run, workers.all(), now);
      }
      placement.recordCompletion(run, now);
      mayPlace = true;
      taskDone(run.task, now, out);
    }

    private void taskDone(Task task, long now, List<DispatchAction> out) {
      Job job = task.job;
      if (jobs.find(job.id()) != job) {
        return;
      }
      job.markDone(task);
      noteProgress(job, now);
      if (job.isComplete()) {
        end(job, JobOutcome.SUCCEEDED, "done", now, out);
      } else {
        jobs.markWaiting(job);
      }
    }

    @Override
    public void runFailed(Run run, long now, List<DispatchAction> out) {
      mayPlace = true;
      Task task = run.task;
      out.add(new Log(LogEvent.RUN_FAILED, RunController.describe(run)));
      if (!task.job.hasFailures() && run.worker.failed(now)) {
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
      noteProgress(job, now);
      int failed = task.failures();
      if (failed >= job.requestClass().attempts()) {
        end(job, JobOutcome.FAILED, "a task failed " + failed + " times", now, out);
      } else {
        jobs.markWaiting(job);
      }
    }

    private void noteProgress(Job job, long now) {
      if (job.isDurable()) {
        durable.progressed(job, now);
      }
    }

    @Override
    public void failedBefore(
        Task task, RunRef run, String worker, long now, List<DispatchAction> out) {
      if (task.done || task.hasFailed(run.number())) {
        return;
      }
      out.add(new Log(LogEvent.RUN_FAILED, "run=" + run + " of an earlier leader"));
      taskFailed(task, run.number(), worker, now, out);
    }

    @Override
    public Job endingJob(JobId id) {
      return durable.findEnding(id);
    }

    @Override
    public void endHeld(Job job, long now) {
      noteProgress(job, now);
    }

    @Override
    public boolean knowsDurableJobs() {
      return durable.isLoaded();
    }

    @Override
    public void runStalled(Run run, long now, List<DispatchAction> out) {
      run.task.lastFailedWorker = run.worker.id();
      if (run.worker.failed(now)) {
        out.add(new Log(LogEvent.WORKER_EJECTED, "worker=" + run.worker.id() + " stalls"));
      }
    }

    @Override
    public void runLost(Run run, String why, long now, List<DispatchAction> out) {
      mayPlace = true;
      out.add(new Log(LogEvent.RUN_LOST, RunController.describe(run) + " why=" + why));
      jobs.markWaiting(run.task.job);
    }

    @Override
    public Task taskFor(RunRef ref) {
      Job job = jobs.find(ref.task().job());
      return job == null ? null : job.task(ref.task().step(), ref.task().index());
    }

    @Override
    public void doneBefore(Task task, long now, List<DispatchAction> out) {
      if (task.run != null) {
        runs.stop(task.run, out);
      }
      taskDone(task, now, out);
    }

    @Override
    public boolean mayBeClaimed(long now) {
      return now - since < CLAIM_MICROS;
    }
  }
}
