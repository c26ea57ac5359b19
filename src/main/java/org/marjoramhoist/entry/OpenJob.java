package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.SubmissionNumber;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.Submit;

/**
 * A non-durable job whose callers wait at this host, and the leaders that it was sent to.
 *
 * <p>Invariant: a result that says that the job has not run, or may not have, is valid only as the
 * answer to its last submission, as a leader starts what it receives afterwards. Confined to the
 * event loop's thread.
 */
final class OpenJob {

  final JobDescription job;
  final RequestClass requestClass;
  final long arrivedAt;
  long deadline;

  /** The term of the partition's leader that the job was last sent to; 0 if none. */
  long sentTerm;

  /** The leader of the failure domain that the job was sent to; null if none. */
  LeaderChannel domainLeader;

  final List<Consumer<Finished>> callers = new ArrayList<>();

  /** The number of previous leaders of the partition that the job was sent to. */
  private int generation;

  private SubmissionNumber lastSubmission = SubmissionNumber.NONE;

  OpenJob(JobDescription job, RequestClass requestClass, long arrivedAt, long deadline) {
    this.job = job;
    this.requestClass = requestClass;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }

  /** Returns whether no leader has the job. */
  boolean isUnsent() {
    return sentTerm == 0 && domainLeader == null;
  }

  /** Returns the outcome if no result is received. */
  JobOutcome outcomeWithoutResult() {
    return isUnsent() ? JobOutcome.REFUSED : JobOutcome.ABANDONED;
  }

  /**
   * Returns whether a result is valid. A job that is done or has failed is, whichever submission
   * the leader answers.
   */
  boolean isAnsweredBy(Finished result) {
    return RecentResults.isFinal(result)
        || result.number().equals(SubmissionNumber.NONE)
        || result.number().equals(lastSubmission);
  }

  /** Sends the job to the partition's leader, for the first time or again. */
  void sendToPartition(LeaderChannel leader, SubmissionNumber number) {
    if (sentTerm != 0 && sentTerm != leader.term()) {
      generation++;
    }
    boolean repeated = sentTerm != 0;
    sentTerm = leader.term();
    send(leader, number, repeated);
  }

  /** Sends the job to the leader of the failure domain. */
  void sendToDomain(LeaderChannel leader, SubmissionNumber number) {
    domainLeader = leader;
    send(leader, number, false);
  }

  private void send(LeaderChannel leader, SubmissionNumber number, boolean repeated) {
    EventLog.debug(
        LogEvent.JOB_SENT,
        "job={} number={} term={} link={} generation={} repeated={}",
        job.id(),
        number,
        leader.term(),
        leader.linkId(),
        generation,
        repeated);
    long now = EventLoop.now();
    lastSubmission = number;
    leader.send(
        new Submit(
            job,
            requestClass,
            now - arrivedAt,
            deadline - now,
            generation,
            number,
            leader.heartbeatSentAt()));
  }
}
