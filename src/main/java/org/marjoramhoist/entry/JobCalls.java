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
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage.JobCall;
import org.marjoramhoist.message.HostMessage.JobCallReply;

/**
 * Calls for durable jobs whose callers wait at this host. Each is sent to the leader and again to
 * each later leader, as all calls are idempotent.
 *
 * <p>Invariant: each caller gets exactly one reply. A job is reported as not accepted only if its
 * submission was sent to no leader, nor an earlier one that is not answered, or if the current
 * leader reports so in answer to the call as it was last sent. Confined to the event loop's thread.
 */
final class JobCalls {

  /** A call that has no reply yet. */
  private static final class OpenCall {
    private JobCall call;
    private final long arrivedAt;
    private final long deadline;
    private final Consumer<JobCallReply> caller;

    private OpenCall(JobCall call, long arrivedAt, long deadline, Consumer<JobCallReply> caller) {
      this.call = call;
      this.arrivedAt = arrivedAt;
      this.deadline = deadline;
      this.caller = caller;
    }

    private boolean isSent() {
      return call.sentCount() > 0;
    }

    /**
     * Returns whether a reply holds. A leader that refused the call as it was sent before may still
     * receive and accept it as it was sent last.
     */
    private boolean isAnsweredBy(JobCallReply reply) {
      return reply.result() != JobCallResult.REFUSED
          || reply.sentCount() == 0
          || reply.sentCount() == call.sentCount();
    }

    private boolean isSubmission() {
      return call.kind() == JobCallKind.SUBMIT;
    }
  }

  private final Map<Long, OpenCall> open = new LinkedHashMap<>();
  private final LeaderTracker leaderTracker;
  private final RecentResults recentResults;
  private final SubmissionNumbers callIds;

  /**
   * Creates an empty set of calls, which are sent to each leader that is found.
   *
   * @param incarnation the start of the host's process in milliseconds since 1970; it makes call
   *     IDs unique across restarts, so that a reply to a call of an earlier process is not matched
   *     to a later call
   * @param recentResults what this host knows of jobs that were submitted here
   */
  JobCalls(LeaderTracker leaderTracker, long incarnation, RecentResults recentResults) {
    this.leaderTracker = leaderTracker;
    this.recentResults = recentResults;
    leaderTracker.onLeaderFound(this::leaderFound);
    this.callIds = new SubmissionNumbers(incarnation);
  }

  /** Returns the number of open calls. */
  int count() {
    return open.size();
  }

  /** Submits a durable job. */
  void submit(
      JobDescription job,
      RequestClass requestClass,
      long arrivedAt,
      long deadline,
      Consumer<JobCallReply> caller) {
    JobCall call =
        new JobCall(
            callIds.next().value(), JobCallKind.SUBMIT, job.id(), job, requestClass, 0, 0, 0);
    add(new OpenCall(call, arrivedAt, deadline, caller));
  }

  /** Queries the status of a job or cancels it. */
  void request(
      JobCallKind kind, JobId id, long arrivedAt, long deadline, Consumer<JobCallReply> caller) {
    JobCall call = new JobCall(callIds.next().value(), kind, id, null, null, 0, 0, 0);
    add(new OpenCall(call, arrivedAt, deadline, caller));
  }

  private void add(OpenCall openCall) {
    if (!leaderTracker.isPartitionLeaderExpected()) {
      openCall.caller.accept(replyWhenGivenUp(openCall));
      return;
    }
    open.put(openCall.call.call(), openCall);
    send(openCall);
  }

  /** Sends the open calls to the leader that was found, unless it has been lost since. */
  private void leaderFound() {
    LeaderChannel leader = leaderTracker.partitionLeader();
    List<OpenCall> calls = List.copyOf(open.values());
    long repeated = calls.stream().filter(OpenCall::isSent).count();
    if (leader != null && repeated > 0) {
      EventLog.info(
          LogEvent.JOBS_RESUBMITTED,
          "calls={} term={} link={}",
          repeated,
          leader.term(),
          leader.linkId());
    }
    calls.forEach(this::send);
  }

  /**
   * Sends a call to the leader, if there is one; sending may detect that the connection is lost.
   */
  private void send(OpenCall openCall) {
    LeaderChannel leader = leaderTracker.partitionLeader();
    if (leader == null) {
      return;
    }
    if (openCall.isSubmission()) {
      recentResults.addSubmitted(openCall.call.id(), EventLoop.now());
    }
    openCall.call =
        openCall.call.resent(EventLoop.now() - openCall.arrivedAt, leader.heartbeatSentAt());
    leader.send(openCall.call);
  }

  /** Handles the reply of the current leader. */
  void replied(JobCallReply reply) {
    OpenCall openCall = open.get(reply.call());
    if (openCall != null && openCall.isAnsweredBy(reply)) {
      open.remove(reply.call());
      if (openCall.isSubmission() && reply.result() == JobCallResult.REFUSED) {
        recentResults.removeRefused(openCall.call.id());
      }
      openCall.caller.accept(reply);
    }
  }

  /** Gives up calls whose deadline has passed, and unsent calls for which no leader is expected. */
  void tick() {
    long now = EventLoop.now();
    for (OpenCall openCall : List.copyOf(open.values())) {
      if (now > openCall.deadline
          || !openCall.isSent() && !leaderTracker.isPartitionLeaderExpected()) {
        giveUp(openCall);
      }
    }
  }

  private void giveUp(OpenCall openCall) {
    open.remove(openCall.call.call());
    openCall.caller.accept(replyWhenGivenUp(openCall));
  }

  /** Returns the reply to a caller whose call is given up. */
  private JobCallReply replyWhenGivenUp(OpenCall openCall) {
    JobCall call = openCall.call;
    boolean mayBeAccepted =
        openCall.isSubmission() && recentResults.mayHaveRun(call.id(), EventLoop.now());
    if (openCall.isSent() || mayBeAccepted) {
      return new JobCallReply(call.call(), JobCallResult.UNKNOWN, null, 0);
    }
    long retryAfterMillis =
        leaderTracker.retryAfterMillis(call.id(), LeaderTracker.DEFAULT_RETRY_MILLIS);
    return new JobCallReply(call.call(), JobCallResult.REFUSED, null, retryAfterMillis);
  }

  /** Gives up all open calls before the host stops. */
  void abandonAll() {
    List.copyOf(open.values()).forEach(this::giveUp);
  }
}
