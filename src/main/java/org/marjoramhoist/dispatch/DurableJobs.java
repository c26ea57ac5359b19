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
import org.marjoramhoist.dispatch.DispatchAction.Reply;
import org.marjoramhoist.dispatch.DispatchEvent.EndedJob;
import org.marjoramhoist.dispatch.DispatchEvent.JobCallReceived;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;

/**
 * The durable jobs of a term as their callers see them: nothing is told of them before it is
 * stored.
 *
 * <p>Invariants: a job is accepted, shown as ended, or told cancelled only once that is stored; a
 * refused job is never stored. Confined to one thread.
 */
final class DurableJobs {

  private static final long MICROS_PER_MILLI = 1_000;

  /** How long the answer to a status call may wait for the end of the job. */
  private static final long STATUS_WAIT_MICROS = 60_000;

  /** A status call that waits for the end of its job to be stored. */
  private record DeferredStatus(JobCallReceived call, Job job, long until) {}

  private final long keepMillis;
  private final long epochMillis;
  private final Journal journal = new Journal();
  private final Map<JobId, Job> ending = new HashMap<>();

  /** Jobs of which nobody can tell what is done; they stay as they are until they are cancelled. */
  private final Map<JobId, Job> halted = new HashMap<>();

  private final Map<JobId, EndedJob> ended = new LinkedHashMap<>();
  private final Map<Job, List<JobCallReceived>> callsAwaitingStore = new HashMap<>();
  private final List<JobCallReceived> deferredCalls = new ArrayList<>();
  private final Deque<DeferredStatus> deferredStatuses = new ArrayDeque<>();
  private boolean loaded;
  private int termOrdinal;

  /**
   * Creates the jobs of a term.
   *
   * @param keepMillis how long ended jobs are kept for their callers
   * @param epochMillis the time since 1970 at which the leader's steady clock was 0
   */
  DurableJobs(long keepMillis, long epochMillis) {
    this.keepMillis = keepMillis;
    this.epochMillis = epochMillis;
  }

  /** Tells whether what earlier leaders stored is known. */
  boolean isLoaded() {
    return loaded;
  }

  /** Keeps a call until the stored jobs are known. */
  void deferCall(JobCallReceived call) {
    deferredCalls.add(call);
  }

  /**
   * Takes in the stored jobs.
   *
   * @return those that are open and can go on
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

  /** Returns the calls that came in before the stored jobs were known. */
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

  /** Tells whether a job with this id has ended or is about to. */
  boolean hasEnded(JobId id) {
    return ended.containsKey(id) || ending.containsKey(id);
  }

  /** Tells whether the store has taken nothing for so long that no job can be accepted. */
  boolean isStalled(long now) {
    return journal.isStalled(now);
  }

  /** Tells whether a job must not go on, as nobody can tell what is done of it. */
  boolean isHalted(JobId id) {
    return halted.containsKey(id);
  }

  /** Answers a call about such a job: it is at work for its callers, and can be cancelled. */
  void answerHalted(JobCallReceived call, long now, List<DispatchAction> out) {
    if (call.kind() != JobCallKind.CANCEL) {
      out.add(reply(call, JobStatus.RUNNING));
      return;
    }
    Job job = halted.remove(call.job());
    awaitStored(call, job);
    recordEnd(job, JobStatus.CANCELLED, now);
  }

  /** Takes on a job; its caller is answered once it is stored. */
  Job accept(JobCallReceived call) {
    Job job = Job.durable(call.record(), call.arrivedAt(), termOrdinal);
    journal.add(job);
    awaitStored(call, job);
    return job;
  }

  /** Answers a call once what it asks for, or the job's end, is stored. */
  void awaitStored(JobCallReceived call, Job job) {
    callsAwaitingStore.computeIfAbsent(job, key -> new ArrayList<>()).add(call);
  }

  /** Answers a repeated submission of an open job. */
  void answerResubmission(JobCallReceived call, Job job, List<DispatchAction> out) {
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
      out.add(new Reply(call.entry(), call.call(), JobCallResult.UNKNOWN_JOB, null, 0));
    } else if (call.kind() == JobCallKind.SUBMIT) {
      out.add(reply(call, JobStatus.RUNNING));
    } else if (call.kind() == JobCallKind.STATUS) {
      deferStatus(call, closing, now);
    } else {
      awaitStored(call, closing);
    }
  }

  /**
   * Answers a call with the status of an open job. If all that is left of the job is at work, the
   * answer waits a little for the end: callers ask often just then, and again much later.
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
    return new Reply(call.entry(), call.call(), JobCallResult.DONE, status, 0);
  }

  /** Takes in that tasks of a job ended. */
  void recordProgress(Job job, long now) {
    if (!job.status.isTerminal()) {
      journal.recordProgress(job, now);
    }
  }

  /** Returns a job whose end is not stored yet; null if there is none with this id. */
  Job findEnding(JobId id) {
    return ending.get(id);
  }

  /** Takes in that a job ended. */
  void recordEnd(Job job, JobStatus status, long now) {
    job.status = status;
    job.endedMillis = millisNow(now);
    ending.put(job.id(), job);
    journal.recordEnd(job);
  }

  /**
   * Takes in that a batch is stored.
   *
   * @return the jobs that may start their tasks now
   */
  List<Job> confirmBatch(long number, List<DispatchAction> out) {
    List<Job> accepted = new ArrayList<>();
    journal.confirmBatch(
        number,
        (job, progress) -> {
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
        });
    return accepted;
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

  /** Forgets jobs that ended long ago, and stores what has changed. */
  void flush(long now, List<DispatchAction> out) {
    answerDeferredStatuses(now, out);
    Iterator<Map.Entry<JobId, EndedJob>> oldest = ended.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<JobId, EndedJob> each = oldest.next();
      if (millisNow(now) - each.getValue().endedMillis() <= keepMillis) {
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
