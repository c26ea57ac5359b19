package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiConsumer;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.RunState;
import org.marjoramhoist.model.SubmissionId;

/**
 * Submissions and questions that were passed on to the host that answers for them.
 *
 * <p>Confined to one thread.
 */
final class Forwards {

  private static final long RETRY_DELAY = 200 * Policy.MICROS_PER_MILLI;

  private record Open(HostRef to, Waiter waiter, SubmissionId id) {}

  private record Question(SubmissionId id, long deadline) {}

  private final Policy policy;
  private final Membership membership;
  private final Map<Long, Open> open = new HashMap<>();
  private final Map<Long, Question> questions = new HashMap<>();
  private long calls;

  Forwards(Policy policy, Membership membership) {
    this.policy = policy;
    this.membership = membership;
  }

  boolean isEmpty() {
    return open.isEmpty();
  }

  void send(
      long now,
      HostRef to,
      Waiter waiter,
      SubmissionId id,
      JobSpec job,
      boolean mayStart,
      Actions out) {
    long call = ++calls;
    open.put(call, new Open(to, waiter, id));
    out.send(to.host(), new PeerMessage.Forward(call, id, job, mayStart));
  }

  /** Returns who waits for the call; null if nobody does any more. */
  Waiter replied(long call) {
    Open forward = open.remove(call);
    return forward == null ? null : forward.waiter;
  }

  /** Notes a question whose answerer is being looked up. */
  void remember(long request, SubmissionId id, long deadline) {
    questions.put(request, new Question(id, deadline));
  }

  SubmissionId recall(long request) {
    Question question = questions.remove(request);
    return question == null ? null : question.id;
  }

  void waitEnded(long request) {
    questions.remove(request);
    open.values().removeIf(forward -> forward.waiter.equals(Waiter.of(request)));
  }

  /** Answers for hosts that are gone, and for questions that nobody answered. */
  void tick(long now, BiConsumer<Waiter, JobAnswer> reply) {
    for (Iterator<Open> all = open.values().iterator(); all.hasNext(); ) {
      Open forward = all.next();
      if (!membership.isAlive(forward.to)) {
        all.remove();
        reply.accept(forward.waiter, lost(now, forward));
      }
    }
    for (Map.Entry<Long, Question> entry : new ArrayList<>(questions.entrySet())) {
      if (entry.getValue().deadline <= now) {
        questions.remove(entry.getKey());
        String detail = "the shard's owner did not answer in time";
        reply.accept(
            Waiter.of(entry.getKey()),
            unknown(now, entry.getValue().id, ErrorKind.CLAIM_UNAVAILABLE, detail));
      }
    }
  }

  /** Answers what was passed to a host whose connection broke; asking again is safe. */
  void linkLost(long now, HostId host, BiConsumer<Waiter, JobAnswer> reply) {
    for (Iterator<Open> all = open.values().iterator(); all.hasNext(); ) {
      Open forward = all.next();
      if (forward.to.host().equals(host)) {
        all.remove();
        reply.accept(forward.waiter, lost(now, forward));
      }
    }
  }

  private JobAnswer lost(long now, Open forward) {
    if (membership.isSuperseded(forward.to)) {
      String detail = "the host that started it has restarted; not started again";
      return JobAnswer.failed(forward.id, ErrorKind.OUTCOME_UNKNOWN, detail);
    }
    String detail = "the host that may start it can't be reached";
    return unknown(now, forward.id, ErrorKind.HOME_UNREACHABLE, detail);
  }

  private static JobAnswer unknown(long now, SubmissionId id, ErrorKind kind, String detail) {
    return JobAnswer.failed(id, kind, detail)
        .withRunState(RunState.UNKNOWN)
        .withRetryAt((now + RETRY_DELAY) / Policy.MICROS_PER_MILLI);
  }
}
