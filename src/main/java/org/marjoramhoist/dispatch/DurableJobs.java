package org.marjoramhoist.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.dispatch.DispatchAction.Reply;
import org.marjoramhoist.dispatch.DispatchEvent.EndedJob;
import org.marjoramhoist.dispatch.DispatchEvent.JobCallReceived;
import org.marjoramhoist.job.JobFootprint;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.log.LogEvent;

/**
 * The durable jobs of a term as their callers see them: a change is reported only once it is
 * stored.
 *
 * <p>Invariants: a job is reported as accepted, ended or cancelled only once that is stored; a
 * refused job is never stored. Confined to one thread.
 */
final class DurableJobs {

  private static final long MICROS_PER_MILLI = 1_000;

  /** How long the reply to a status call may wait for the end of the job. */
  private static final long STATUS_WAIT_MICROS = 60_000;

  /** A status call that waits until the end of its job is stored. */
  private record DeferredStatus(JobCallReceived call, Job job, long until) {}

  private final long retentionMillis;
  private final long epochMillis;
  private final Journal journal = new Journal();

  /** Jobs that have ended and whose end is not stored yet. */
  private final Map<JobId, Job> ending = new HashMap<>();

  /** Jobs whose progress cannot be read; they are not continued and can only be cancelled. */
  private final Map<JobId, Job> halted = new HashMap<>();

  /** Jobs whose end is stored, oldest first. */
  private final Map<JobId, EndedJob> ended = new LinkedHashMap<>();

  private final Map<Job, List<JobCallReceived>> callsAwaitingStore = new HashMap<>();
  private final List<JobCallReceived> deferredCalls = new ArrayList<>();
  private final Deque<DeferredStatus> deferredStatuses = new ArrayDeque<>();

  private boolean loaded;
  private int termOrdinal;

  /**
   * Creates the durable jobs of a term.
   *
   * @param retentionMillis how long callers can ask for a job that has ended
   * @param epochMillis the time since 1970 at which the leader's steady clock was 0
   */
  DurableJobs(long retentionMillis, long epochMillis) {
    this.retentionMillis = retentionMillis;
    this.epochMillis = epochMillis;
  }

  /** Tells whether the jobs that previous leaders stored are loaded. */
  boolean isLoaded() {
    return loaded;
  }

  /** Keeps a call until the stored jobs are loaded. */
  void deferCall(JobCallReceived call) {
    deferredCalls.add(call);
  }

  /**
   * Loads the stored jobs.
   *
   * @return the open jobs that can be continued
   */
  List<Job> load(DispatchEvent.JobsLoaded event) {
    loaded = true;
    termOrdinal = event.ordinal();
    event.ended().stream()
        .sorted(Comparator.comparingLong(EndedJob::endedMillis))
        .forEach(each -> ended.put(each.id(), each));
    List<Job> open = new ArrayList<>();
    for (DispatchEvent.LoadedJob each : event.open()) {
      Job job =
          Job.durable(each.record(), steadyMicros(each.record().acceptedMillis()), termOrdinal);
      job.restore(each.progress().orElse(null));
      if (each.progressReadable()) {
        open.add(job);
      } else {
        halted.put(job.id(), job);
      }
    }
    return open;
  }

  /** Removes and returns the calls that were received before the stored jobs were loaded. */
  List<JobCallReceived> removeDeferredCalls() {
    List<JobCallReceived> calls = List.copyOf(deferredCalls);
    deferredCalls.clear();
    return calls;
  }

  private long steadyMicros(long millis) {
    return (millis - epochMillis) * MICROS_PER_MILLI;
  }

  private long millisNow(long now) {
    return epochMillis + now / MICROS_PER_MILLI;
  }

  /** Tells whether a job with this id has ended, even if its end is not stored yet. */
  boolean hasEnded(JobId id) {
    return ended.containsKey(id) || ending.containsKey(id);
  }

  /** Returns the memory that jobs take which have ended, by an upper estimate. */
  long endedBytes() {
    return (long) (ended.size() + ending.size()) * JobFootprint.ENDED_JOB_BYTES;
  }

  /** Tells whether the store has confirmed nothing for so long that no job can be accepted. */
  boolean isStalled(long now) {
    return journal.isStalled(now);
  }

  /** Tells whether a job is not continued because its progress cannot be read. */
  boolean isHalted(JobId id) {
    return halted.containsKey(id);
  }

  /**
   * Answers a call about a job that is not continued: it is reported as running, and can be
   * cancelled.
   */
  void answerHalted(JobCallReceived call, long now, List<DispatchAction> out) {
    if (call.kind() != JobCallKind.CANCEL) {
      out.add(reply(call, JobStatus.RUNNING));
      return;
    }
    Job job = halted.remove(call.job());
    awaitStored(call, job);
    recordEnd(job, JobStatus.CANCELLED, now);
  }

  /** Accepts a job; its caller is answered once it is stored. */
  Job accept(JobCallReceived call) {
    Job job = Job.durable(call.record(), call.arrivedAt(), termOrdinal);
    journal.add(job);
    awaitStored(call, job);
    return job;
  }

  /** Defers the reply to a call until the requested change, or the end of the job, is stored. */
  void awaitStored(JobCallReceived call, Job job) {
    callsAwaitingStore.computeIfAbsent(job, key -> new ArrayList<>()).add(call);
  }

  void answerRepeatedSubmission(JobCallReceived call, Job job, List<DispatchAction> out) {
    if (job.stored) {
      out.add(reply(call, statusOf(job)));
    } else {
      awaitStored(call, job);
    }
  }

  /** Answers a call about a job that is not open. */
  void answerEnded(JobCallReceived call, long now, List<DispatchAction> out) {
    EndedJob known = ended.get(call.job());
    Job closing = ending.get(call.job());
    if (known != null) {
      out.add(reply(call, known.status()));
    } else if (closing == null) {
      out.add(new Reply(call, JobCallResult.UNKNOWN_JOB, null));
    } else if (call.kind() == JobCallKind.SUBMIT) {
      out.add(reply(call, JobStatus.RUNNING));
    } else if (call.kind() == JobCallKind.STATUS) {
      deferStatus(call, closing, now);
    } else {
      awaitStored(call, closing);
    }
  }

  /**
   * Answers a call with the status of an open job. If all remaining tasks of the job are running,
   * the reply waits briefly for its end, as callers often poll shortly before the end and again
   * only much later.
   */
  void answerStatus(JobCallReceived call, Job job, long now, List<DispatchAction> out) {
    if (job.isDurable() && job.started && !job.hasWaitingTask()) {
      deferStatus(call, job, now);
    } else {
      out.add(reply(call, statusOf(job)));
    }
  }

  private void deferStatus(JobCallReceived call, Job job, long now) {
    awaitStored(call, job);
    deferredStatuses.add(new DeferredStatus(call, job, now + STATUS_WAIT_MICROS));
  }

  private void answerDeferredStatuses(long now, List<DispatchAction> out) {
    while (!deferredStatuses.isEmpty() && deferredStatuses.peek().until() <= now) {
      DeferredStatus first = deferredStatuses.poll();
      List<JobCallReceived> calls = callsAwaitingStore.get(first.job());
      if (calls != null && calls.remove(first.call())) {
        out.add(reply(first.call(), JobStatus.RUNNING));
      }
    }
  }

  private static JobStatus statusOf(Job job) {
    return job.started ? JobStatus.RUNNING : JobStatus.PENDING;
  }

  private static Reply reply(JobCallReceived call, JobStatus status) {
    return new Reply(call, JobCallResult.DONE, status);
  }

  /** Records that the progress of a job has changed, if it is durable. */
  void recordProgress(Job job, long now) {
    if (job.isDurable() && !job.status.isTerminal()) {
      journal.recordProgress(job, now);
    }
  }

  /**
   * Records that a worker was lost with a run of a job; this is stored with the next batch, if the
   * job is durable.
   */
  void recordLoss(Job job, long now) {
    if (job.isDurable() && !job.status.isTerminal()) {
      journal.recordUrgentProgress(job, now);
    }
  }

  /** Returns a job whose end is not stored yet; null if there is none with this id. */
  Job findEnding(JobId id) {
    return ending.get(id);
  }

  /** Records the end of a job. */
  void recordEnd(Job job, JobStatus status, long now) {
    job.status = status;
    job.endedMillis = millisNow(now);
    ending.put(job.id(), job);
    journal.recordEnd(job);
  }

  /**
   * Handles the confirmation that a batch is stored.
   *
   * @return the jobs whose tasks may start now, and those that the store refuses
   */
  StoreResults confirmBatch(long number, long now, List<DispatchAction> out) {
    StoreResults results = new StoreResults(out);
    journal.confirmBatch(number, now, results);
    return results;
  }

  /** Handles that the store has refused a batch. */
  void refuseBatch(DispatchEvent.BatchRefused event, long now) {
    journal.refuseBatch(event.number(), event.reason(), now);
  }

  /** Takes what the store has done with the jobs of a batch. */
  final class StoreResults implements Journal.Listener {

    private final List<DispatchAction> out;
    private final List<Job> accepted = new ArrayList<>();
    private final List<Job> refused = new ArrayList<>();

    private StoreResults(List<DispatchAction> out) {
      this.out = out;
    }

    @Override
    public void jobStored(Job job, JobProgress progress) {
      if (progress == null) {
        job.stored = true;
        accepted.add(job);
        answerCallsAwaitingStore(job, Set.of(JobCallKind.SUBMIT), statusOf(job), out);
      } else if (progress.status().isTerminal()) {
        ending.remove(job.id());
        ended.put(job.id(), new EndedJob(job.id(), progress.status(), progress.endedMillis()));
        answerCallsAwaitingStore(
            job, Set.of(JobCallKind.CANCEL, JobCallKind.STATUS), progress.status(), out);
      }
    }

    @Override
    public void jobRefused(Job job, JobProgress progress, String reason) {
      boolean isEnd = progress != null && progress.status().isTerminal();
      String part = progress == null ? "record" : isEnd ? "end" : "progress";
      String detail = "job=" + job.id() + " part=" + part + " reason=" + reason;
      out.add(new Log(LogEvent.JOB_NOT_STORED, detail));
      if (progress == null || !job.status.isTerminal()) {
        refused.add(job);
      }
    }

    /** Returns the jobs whose tasks may start now. */
    List<Job> accepted() {
      return accepted;
    }

    /** Returns the open jobs that the store refuses; they are to be ended. */
    List<Job> refused() {
      return refused;
    }
  }

  /** Forgets a job whose record the store refuses. */
  void forget(
      Job job, Function<JobCallReceived, DispatchAction> refusal, List<DispatchAction> out) {
    journal.forget(job);
    ending.remove(job.id());
    List<JobCallReceived> calls = callsAwaitingStore.remove(job);
    if (calls != null) {
      for (JobCallReceived call : calls) {
        out.add(
            call.kind() == JobCallKind.SUBMIT
                ? refusal.apply(call)
                : new Reply(call, JobCallResult.UNKNOWN_JOB, null));
      }
    }
  }

  private void answerCallsAwaitingStore(
      Job job, Set<JobCallKind> kinds, JobStatus status, List<DispatchAction> out) {
    List<JobCallReceived> calls = callsAwaitingStore.get(job);
    if (calls == null) {
      return;
    }
    calls.stream()
        .filter(call -> kinds.contains(call.kind()))
        .forEach(call -> out.add(reply(call, status)));
    calls.removeIf(call -> kinds.contains(call.kind()));
    if (calls.isEmpty()) {
      callsAwaitingStore.remove(job);
    }
  }

  /** Deletes ended jobs after the retention period, and stores pending changes. */
  void flush(long now, List<DispatchAction> out) {
    answerDeferredStatuses(now, out);
    Iterator<Map.Entry<JobId, EndedJob>> oldest = ended.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<JobId, EndedJob> each = oldest.next();
      if (millisNow(now) - each.getValue().endedMillis() <= retentionMillis) {
        break;
      }
      journal.delete(each.getKey());
      oldest.remove();
    }
    if (loaded) {
      journal.flush(now, out);
    }
  }
}
