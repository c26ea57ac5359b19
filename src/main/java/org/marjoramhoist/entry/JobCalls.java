package org.marjoramhoist.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.JobCallResult;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.message.HostMessage.JobCall;
import org.marjoramhoist.message.HostMessage.JobCallReply;

/**
 * Calls about durable jobs whose callers wait at this host. Each is sent to the leader, and again
 * to each later one, as all of them may be repeated.
 *
 * <p>Invariant: each caller is answered once. A job is called not accepted only if no leader was
 * asked to accept it, or if the leader in charge says so. Confined to the loop's thread.
 */
final class JobCalls {

  /** Leaves room for this power of two of calls in each millisecond of a life. */
  private static final int CALL_COUNT_BITS = 16;

  /** A call on its way. */
  private static final class OpenCall {
    private final JobCall call;
    private final long arrivedAt;
    private final long deadline;
    private final Consumer<JobCallReply> caller;
    private boolean sent;

    private OpenCall(JobCall call, long arrivedAt, long deadline, Consumer<JobCallReply> caller) {
      this.call = call;
      this.arrivedAt = arrivedAt;
      this.deadline = deadline;
      this.caller = caller;
    }

    /** Returns the answer to a caller that is kept waiting no longer. */
    private JobCallReply replyWhenGivenUp(LeaderTracker leaderTracker) {
      return sent
          ? new JobCallReply(call.call(), JobCallResult.UNKNOWN, null, 0)
          : new JobCallReply(
              call.call(),
              JobCallResult.REFUSED,
              null,
              leaderTracker.retryAfterMillis(call.id(), LeaderTracker.DEFAULT_RETRY_MILLIS));
    }
  }

  private final Map<Long, OpenCall> open = new LinkedHashMap<>();
  private final LeaderTracker leaderTracker;
  private long lastCallId;

  /**
   * Creates the calls of a life of the host's process, which are sent to each leader that is found.
   *
   * @param incarnation tells this life apart from others, so that an answer to one of an earlier
   *     life is not taken for another's; its start in milliseconds since 1970
   */
  JobCalls(LeaderTracker leaderTracker, long incarnation) {
    this.leaderTracker = leaderTracker;
    leaderTracker.onLeaderFound(() -> List.copyOf(open.values()).forEach(this::send));
    this.lastCallId = incarnation << CALL_COUNT_BITS;
  }

  /** Returns how many callers wait. */
  int count() {
    return open.size();
  }

  /** Asks for a durable job to be accepted. */
  void submit(
      JobDescription job,
      RequestClass requestClass,
      long arrivedAt,
      long deadline,
      Consumer<JobCallReply> caller) {
    JobCall call = new JobCall(++lastCallId, JobCallKind.SUBMIT, job.id(), job, requestClass, 0);
    add(new OpenCall(call, arrivedAt, deadline, caller));
  }

  /** Asks about a job, or for it to be cancelled. */
  void request(
      JobCallKind kind, JobId id, long arrivedAt, long deadline, Consumer<JobCallReply> caller) {
    add(
        new OpenCall(
            new JobCall(++lastCallId, kind, id, null, null, 0), arrivedAt, deadline, caller));
  }

  private void add(OpenCall openCall) {
    if (!leaderTracker.isPartitionLeaderExpected()) {
      openCall.caller.accept(openCall.replyWhenGivenUp(leaderTracker));
      return;
    }
    open.put(openCall.call.call(), openCall);
    send(openCall);
  }

  /** Sends a call to the leader, if there is one; it may be lost while calls are sent to it. */
  private void send(OpenCall openCall) {
    LeaderChannel leader = leaderTracker.partitionLeader();
    if (leader == null) {
      return;
    }
    openCall.sent = true;
    leader.send(openCall.call.withAge(EventLoop.now() - openCall.arrivedAt));
  }

  /** Takes in the answer of the leader in charge. */
  void replied(JobCallReply reply) {
    OpenCall openCall = open.remove(reply.call());
    if (openCall != null) {
      openCall.caller.accept(reply);
    }
  }

  /** Answers the callers that stop waiting, and those that no leader will be found for. */
  void tick() {
    long now = EventLoop.now();
    for (OpenCall openCall : List.copyOf(open.values())) {
      if (now > openCall.deadline || !openCall.sent && !leaderTracker.isPartitionLeaderExpected()) {
        giveUp(openCall);
      }
    }
  }

  private void giveUp(OpenCall openCall) {
    open.remove(openCall.call.call());
    openCall.caller.accept(openCall.replyWhenGivenUp(leaderTracker));
  }

  /** Gives up all open calls, as the host stops. */
  void abandonAll() {
    List.copyOf(open.values()).forEach(this::giveUp);
  }
}
