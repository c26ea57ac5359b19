package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.WorkerHint;
import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.RunState;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.model.UpstreamId;
import org.marjoramhoist.model.WorkerId;
import org.marjoramhoist.resource.ClassSpec;
import org.marjoramhoist.resource.TeamSpec;
import org.marjoramhoist.resource.UpstreamSpec;

/**
 * Queues the jobs that this host may start, and starts their tasks on workers with a free slot.
 *
 * <p>Invariant: a job ends exactly once, complete with every result or failed with none. Confined
 * to one thread.
 */
public final class Scheduler {

  /** Takes the answer of a job that has ended. */
  public interface JobSink {
    /** Takes the answer. */
    void ended(long now, SubmissionId id, JobAnswer answer, Actions out);
  }

  private static final int RADIX = 36;
  private static final double DUE_FACTOR = 5;

  private final Policy policy;
  private final Configuration config;
  private final JobSink sink;
  private final Ledger ledger;
  private final TeamUsage usage = new TeamUsage();
  private final Admission admission;
  private final Attempts attempts;
  private final SlotLending lending;
  private final Map<UpstreamId, UpstreamState> upstreams = new TreeMap<>();
  private final Map<SubmissionId, JobRun> jobs = new HashMap<>();
  private final PriorityQueue<JobRun> byDeadline =
      new PriorityQueue<>(Comparator.comparingLong(JobRun::deadline));
  private long attemptSeq;
  private long jobSeq;

  /** Creates a scheduler without upstreams. */
  public Scheduler(
      Policy policy, Membership membership, Configuration config, Ledger ledger, JobSink sink) {
    this.policy = policy;
    this.config = config;
    this.ledger = ledger;
    this.sink = sink;
    this.attempts = new Attempts(ledger, new Callback());
    this.lending = new SlotLending(membership);
    this.admission = new Admission(policy, config, usage, lending);
  }

  /** What becomes of a job when one of its attempts has ended. */
  private final class Callback implements Attempts.JobEvents {
    @Override
    public void taskWaits(long now, JobRun job, UpstreamState upstream) {
      upstream.addQueuedWork(job.expectedEach());
      upstream.queue().addOne(now, job);
    }

    @Override
    public void taskCompleted(long now, JobRun job, Actions out) {
      usage.add(job.spec().team(), -1);
      if (job.isComplete()) {
        finish(now, job, JobAnswer.complete(job.spec().id(), job.orderedResults()), out);
      }
    }

    @Override
    public void taskFailed(long now, JobRun job, ErrorKind kind, String detail, Actions out) {
      JobAnswer answer = JobAnswer.failed(job.spec().id(), kind, detail);
      finish(now, job, answer, out);
    }
  }

  SlotLending lending() {
    return lending;
  }

  /** Lends slots to a host that asks for them. */
  void loanAsked(long now, HostRef from, PeerMessage.LoanRequest request, Actions out) {
    UpstreamState upstream = upstreams.get(new UpstreamId(request.upstream()));
    lending.asked(now, from, request, upstream, out);
  }

  /** Takes in slots that another host lends. */
  void loanGranted(long now, HostRef from, PeerMessage.LoanGrant grant, Actions out) {
    UpstreamState upstream = upstreams.get(new UpstreamId(grant.upstream()));
    lending.granted(now, from, grant, upstream, out);
    if (upstream != null) {
      dispatch(now, upstream, out);
    }
  }

  /** Takes in slots that another host gives back. */
  void loanReturned(long now, HostRef from, PeerMessage.LoanReturn loan, Actions out) {
    UpstreamState upstream = upstreams.get(new UpstreamId(loan.upstream()));
    if (upstream != null) {
      lending.returned(now, from, loan, upstream);
      dispatch(now, upstream, out);
    }
  }

  /** Returns the slots of each upstream that this host would lend. */
  Map<String, Integer> freeSlots() {
    Map<String, Integer> free = new TreeMap<>();
    for (UpstreamState upstream : upstreams.values()) {
      int slots = SlotLending.lendable(upstream);
      if (slots > 0) {
        free.put(upstream.id().value(), slots);
      }
    }
    return free;
  }

  TeamUsage usage() {
    return usage;
  }

  /** Returns the upstreams that are declared. */
  Iterable<UpstreamState> upstreams() {
    return upstreams.values();
  }

  /** Returns how many jobs wait or run. */
  public int jobCount() {
    return jobs.size();
  }

  /** Returns how many attempts have no known end. */
  public int attemptCount() {
    return attempts.size();
  }

  /** Returns the tasks waiting and running for each upstream. */
  public Map<String, Integer> demand() {
    Map<String, Integer> demand = new TreeMap<>();
    for (UpstreamState upstream : upstreams.values()) {
      if (upstream.demand() > 0) {
        demand.put(upstream.id().value(), upstream.demand());
      }
    }
    return demand;
  }

  /** Takes in the configuration in force. */
  public void configChanged(long now, Actions out) {
    for (UpstreamSpec spec : config.upstreams()) {
      upstreams.computeIfAbsent(spec.id(), UpstreamState::new).pool().update(now, spec);
    }
    for (UpstreamState upstream : upstreams.values()) {
      if (config.upstream(upstream.id()) == null) {
        upstream.pool().update(now, new UpstreamSpec(upstream.id(), List.of()));
      }
    }
    dispatchAll(now, out);
  }

  /**
   * Takes a job or refuses it; only to be called while nobody else can start it.
   *
   * @return the refusal; empty if the job is taken
   */
  public Optional<JobAnswer> submit(long now, JobSpec job, Actions out) {
    ClassSpec requestClass = config.requestClass(job.classId());
    UpstreamState upstream = null;
    if (requestClass != null && config.upstream(requestClass.upstream()) != null) {
      upstream = upstreams.get(requestClass.upstream());
    }
    Optional<JobAnswer> refusal = admission.check(now, job, upstream);
    if (refusal.isPresent()) {
      ledger.refused(now, job, refusal.get());
      return refusal;
    }
    accept(now, job, requestClass, upstream, out);
    return refusal;
  }

  private void accept(
      long now, JobSpec spec, ClassSpec requestClass, UpstreamState upstream, Actions out) {
    JobRun job = new JobRun(spec, requestClass, now, jobSeq++);
    double work = Admission.expectedWork(spec, requestClass, upstream);
    int slots = Math.max(1, upstream.pool().usableSlots());
    job.setExpectedEach(work / spec.tasks().size());
    double ideal = Math.max(job.expectedEach(), work / slots);
    job.setDue(Math.min(now + (long) (DUE_FACTOR * ideal), job.deadline() - (long) ideal));
    jobs.put(spec.id(), job);
    byDeadline.add(job);
    usage.add(spec.team(), spec.tasks().size());
    upstream.addQueuedWork(work);
    upstream.queue().add(now, job);
    dispatch(now, upstream, out);
  }

  /** Ends a job that its caller gave up. */
  public void cancel(long now, SubmissionId id, Actions out) {
    JobRun job = jobs.get(id);
    if (job != null) {
      RunState state = job.hasStarted() ? RunState.RAN : RunState.NOT_RUN;
      JobAnswer answer = JobAnswer.failed(id, ErrorKind.CANCELLED, "cancelled by the caller");
      finish(now, job, answer.withRunState(state), out);
      dispatchAll(now, out);
    }
  }

  private void finish(long now, JobRun job, JobAnswer answer, Actions out) {
    if (job.isEnded()) {
      return;
    }
    UpstreamState upstream = upstreams.get(job.requestClass().upstream());
    upstream.addQueuedWork(-job.expectedEach() * job.waitingCount());
    upstream.queue().remove(now, job);
    int open = job.waitingCount() + job.attempts().size();
    job.end();
    jobs.remove(job.spec().id());
    if (answer.error() != null) {
      usage.add(job.spec().team(), -open);
      new ArrayList<>(job.attempts()).forEach(id -> attempts.abort(now, id, out));
      ledger.failed(now, job, answer);
    }
    sink.ended(now, job.spec().id(), answer, out);
    out.add(new Action.Observe(observation(now, job, answer)));
  }

  private static JobObservation observation(long now, JobRun job, JobAnswer answer) {
    long wait = job.firstStart() < 0 ? -1 : job.firstStart() - job.submittedAt();
    return new JobObservation(
        job.spec().id(),
        job.spec().team(),
        job.spec().classId(),
        answer.error(),
        now - job.submittedAt(),
        wait,
        job.longestRun(),
        job.spec().tasks().size());
  }

  /** Takes in what a worker has answered to an attempt. */
  public void attemptEnded(long now, AttemptId id, Outcome outcome, Actions out) {
    UpstreamState upstream = attempts.ended(now, id, outcome, out);
    if (upstream != null) {
      dispatch(now, upstream, out);
    }
  }

  /** Takes in what a worker has answered to a question about an attempt. */
  public void attemptSettled(long now, AttemptId id, Outcome outcome, Actions out) {
    UpstreamState upstream = attempts.settled(now, id, outcome, out);
    if (upstream != null) {
      dispatch(now, upstream, out);
    }
  }

  /** Does what is due: ends late jobs, asks about silent attempts, tries workers again. */
  public void tick(long now, Actions out) {
    while (!byDeadline.isEmpty() && byDeadline.peek().deadline() <= now) {
      expire(now, byDeadline.poll(), out);
    }
    attempts.tick(now, out);
    for (UpstreamState upstream : upstreams.values()) {
      upstream.pool().tick(now);
      upstream.queue().tick(now, upstream.pool().lastingSlots());
    }
    upstreams.values().forEach(upstream -> lending.tick(now, upstream, out));
    dispatchAll(now, out);
  }

  private void expire(long now, JobRun job, Actions out) {
    if (job.isEnded()) {
      return;
    }
    RunState state = job.hasStarted() ? RunState.RAN : RunState.NOT_RUN;
    String detail = job.spec().tasks().size() - job.resultCount() + " tasks had not ended";
    JobAnswer answer =
        JobAnswer.failed(job.spec().id(), ErrorKind.DEADLINE_EXCEEDED, detail).withRunState(state);
    finish(now, job, answer, out);
  }

  /** Starts whatever can be started. */
  public void dispatchAll(long now, Actions out) {
    upstreams.values().forEach(upstream -> dispatch(now, upstream, out));
  }

  private void dispatch(long now, UpstreamState upstream, Actions out) {
    Set<ClassId> leftOut = new HashSet<>();
    while (upstream.pool().hasAvailable()) {
      JobRun job = upstream.queue().next(leftOut);
      if (job == null) {
        break;
      }
      double expected = Admission.expected(job.peek(), job.requestClass(), upstream);
      WorkerState worker = upstream.pool().choose(job, expected, upstream.queue().waitingTasks());
      if (worker == null) {
        leftOut.add(job.spec().classId());
      } else {
        start(now, upstream, job, worker, expected, out);
      }
    }
    lending.ask(now, upstream, out);
    lending.serve(now, upstream, out);
  }

  private void start(
      long now,
      UpstreamState upstream,
      JobRun job,
      WorkerState worker,
      double expected,
      Actions out) {
    AttemptId id = nextAttempt();
    final TaskSpec task = job.start(id, worker.spec().rack(), now);
    TeamSpec team = config.team(job.spec().team());
    upstream.queue().started(now, job, expected, team == null ? 1 : team.share());
    upstream.addQueuedWork(-job.expectedEach());
    upstream.addRunning(1);
    worker.started();
    upstream.pool().refresh(now, worker);
    double here = expected * upstream.runTimes().factor(worker.id());
    attempts.start(new Attempt(id, job, task, upstream, worker, here, now), now, out);
  }

  private AttemptId nextAttempt() {
    return new AttemptId(
        policy.self().host()
            + "-"
            + Long.toString(policy.self().boot(), RADIX)
            + "-"
            + Long.toString(attemptSeq++, RADIX));
  }

  /** Returns what the other hosts should know of workers. */
  List<WorkerHint> hints() {
    return attempts.hints();
  }

  /** Takes in what another host has learned of a worker. */
  void hinted(long now, WorkerHint hint, Actions out) {
    UpstreamState upstream = upstreams.get(new UpstreamId(hint.upstream()));
    WorkerState worker = upstream == null ? null : upstream.pool().get(new WorkerId(hint.worker()));
    if (worker == null) {
      return;
    }
    if (hint.leaving()) {
      attempts.leaving(now, upstream, worker, out);
    } else {
      worker.health().warned();
      upstream.pool().refresh(now, worker);
    }
  }

  /** Returns how many tasks wait. */
  int waitingTasks() {
    return upstreams.values().stream().mapToInt(u -> u.queue().waitingTasks()).sum();
  }

  /** Returns the workers as this host sees them. */
  List<HostStatus.WorkerView> workerViews() {
    List<HostStatus.WorkerView> views = new ArrayList<>();
    for (UpstreamState upstream : upstreams.values()) {
      for (WorkerState worker : upstream.pool().workers()) {
        views.add(view(upstream, worker));
      }
    }
    views.sort(
        Comparator.comparing(HostStatus.WorkerView::upstream)
            .thenComparing(HostStatus.WorkerView::worker));
    return views;
  }

  private static HostStatus.WorkerView view(UpstreamState upstream, WorkerState worker) {
    return new HostStatus.WorkerView(
        upstream.id().value(),
        worker.id().value(),
        worker.spec().domain().value(),
        worker.spec().rack(),
        worker.isLeaving() ? "LEAVING" : worker.health().state().name(),
        worker.spec().slots(),
        worker.share(),
        worker.running(),
        upstream.runTimes().factor(worker.id()));
  }

  /** Takes in which hosts split the workers' slots. */
  void shareSlots(long now, List<SlotShares.Sharer> sharers, Actions out) {
    for (UpstreamState upstream : upstreams.values()) {
      SlotShares.apply(now, upstream, policy.self().host(), sharers);
      dispatch(now, upstream, out);
    }
  }

  /** Takes in that a worker leaves: it gets no new work from now on. */
  public void workerLeaving(long now, String worker, Actions out) {
    for (UpstreamState upstream : upstreams.values()) {
      for (WorkerState state : upstream.pool().workers()) {
        if (state.id().value().equals(worker)) {
          attempts.leaving(now, upstream, state, out);
        }
      }
    }
  }
}
