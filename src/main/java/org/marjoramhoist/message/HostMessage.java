package org.marjoramhoist.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.JobCallResult;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.SubmissionNumber;

/**
 * A message between a partition's leader and the other hosts.
 *
 * <p>Messages on one connection arrive in the order they were sent; any of them may be lost with
 * the connection. Immutable and safe for use by several threads.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = HostMessage.Heartbeat.class, name = "h"),
  @JsonSubTypes.Type(value = HostMessage.HeartbeatReply.class, name = "r"),
  @JsonSubTypes.Type(value = HostMessage.Submit.class, name = "s"),
  @JsonSubTypes.Type(value = HostMessage.Withdraw.class, name = "w"),
  @JsonSubTypes.Type(value = HostMessage.Finished.class, name = "f"),
  @JsonSubTypes.Type(value = HostMessage.JobCall.class, name = "j"),
  @JsonSubTypes.Type(value = HostMessage.JobCallReply.class, name = "k"),
  @JsonSubTypes.Type(value = HostMessage.HandOver.class, name = "o"),
  @JsonSubTypes.Type(value = HostMessage.LeaderQuery.class, name = "q"),
  @JsonSubTypes.Type(value = HostMessage.LeaderQueryReply.class, name = "p"),
  @JsonSubTypes.Type(value = HostMessage.ConfigQuery.class, name = "c"),
  @JsonSubTypes.Type(value = HostMessage.ConfigCopy.class, name = "d"),
  @JsonSubTypes.Type(value = HostMessage.DrainQuery.class, name = "x"),
  @JsonSubTypes.Type(value = HostMessage.DrainCopy.class, name = "y"),
  @JsonSubTypes.Type(value = HostMessage.DomainWorkers.class, name = "u"),
  @JsonSubTypes.Type(value = HostMessage.DomainHeartbeat.class, name = "l"),
  @JsonSubTypes.Type(value = HostMessage.DomainHeartbeatReply.class, name = "m"),
  @JsonSubTypes.Type(value = HostMessage.DomainState.class, name = "n"),
  @JsonSubTypes.Type(value = HostMessage.DomainHandOver.class, name = "g")
})
public sealed interface HostMessage {

  /**
   * Says that the leader lives.
   *
   * @param term its term
   * @param host the leader
   * @param configVersion the version of the configuration in force at the leader
   * @param drainRevision the store revision as of which the leader knows the drained failure
   *     domains; 0 if it does not
   * @param waiting jobs without a started task, by the name of their class
   * @param intake the share of the new jobs that hosts are to send on, from 0 to 1
   * @param sentAt when it was sent, on the leader's steady clock in microseconds
   * @param returns when callers that hosts refuse may come back
   */
  record Heartbeat(
      long term,
      String host,
      long configVersion,
      long drainRevision,
      Map<String, Integer> waiting,
      double intake,
      long sentAt,
      RetryForecast returns)
      implements HostMessage {

    /** Creates a heartbeat; one of an earlier version has no forecast. */
    public Heartbeat {
      returns = returns == null ? RetryForecast.NONE : returns;
    }
  }

  /**
   * Answers a heartbeat.
   *
   * @param term the highest term that the sender knows of
   * @param host the sender
   * @param configVersion the version of the configuration in force at the sender
   * @param drainRevision the store revision as of which the sender knows the drained failure
   *     domains; 0 if it does not
   * @param mayLead whether the sender could lead: the store answers it, and it is not stopping
   * @param heartbeatSentAt the time that the heartbeat carried
   * @param leaderFoundBy the time that the heartbeat carried by which the sender found the leader;
   *     it has submitted all its open jobs again since. 0 if it doesn't follow the leader
   */
  record HeartbeatReply(
      long term,
      String host,
      long configVersion,
      long drainRevision,
      boolean mayLead,
      long heartbeatSentAt,
      long leaderFoundBy)
      implements HostMessage {

    /** Creates a reply of a host that doesn't follow the leader. */
    public HeartbeatReply(
        long term,
        String host,
        long configVersion,
        long drainRevision,
        boolean mayLead,
        long heartbeatSentAt) {
      this(term, host, configVersion, drainRevision, mayLead, heartbeatSentAt, 0);
    }
  }

  /**
   * Hands a job to the leader.
   *
   * @param job the job
   * @param requestClass its class, as the sender's configuration has it
   * @param ageMicros how long ago its request came in
   * @param patienceMicros how much longer its caller waits
   * @param generation how many leaders were given the job before this one
   * @param number the number of this submission
   * @param heartbeatSentAt the time that the leader's last heartbeat carried
   */
  record Submit(
      JobDescription job,
      RequestClass requestClass,
      long ageMicros,
      long patienceMicros,
      int generation,
      SubmissionNumber number,
      long heartbeatSentAt)
      implements HostMessage {

    /** Creates a message; one of an earlier version has no number, and names no heartbeat. */
    public Submit {
      number = number == null ? SubmissionNumber.NONE : number;
      heartbeatSentAt = heartbeatSentAt == 0 ? Long.MAX_VALUE : heartbeatSentAt;
    }
  }

  /**
   * Tells the leader that the sender no longer waits for a job.
   *
   * @param job the job
   * @param cancelled whether its caller has cancelled it, so that no host waits for it any more
   */
  record Withdraw(JobId job, boolean cancelled) implements HostMessage {}

  /**
   * Tells a host how a job ended.
   *
   * @param job the job
   * @param outcome how it ended
   * @param reason why, for logs and the answer
   * @param retryAfterMillis when a refused caller may come back; 0 if that says nothing
   * @param number the last submission of the job that the leader had from the host as the job ended
   */
  record Finished(
      JobId job, JobOutcome outcome, String reason, long retryAfterMillis, SubmissionNumber number)
      implements HostMessage {

    /** Creates a message; one of an earlier version has no number. */
    public Finished {
      number = number == null ? SubmissionNumber.NONE : number;
    }

    /** Creates a result that answers no submission in particular. */
    public Finished(JobId job, JobOutcome outcome, String reason, long retryAfterMillis) {
      this(job, outcome, reason, retryAfterMillis, SubmissionNumber.NONE);
    }
  }

  /**
   * Asks the leader for something about a durable job.
   *
   * @param call numbers the sender's calls
   * @param kind what is asked
   * @param id the job
   * @param job the job, if it is handed in; otherwise null
   * @param requestClass its class, as the sender's configuration has it, if it is handed in
   * @param ageMicros how long ago the caller's request came in
   * @param sentCount how many times the call was sent, this time included; 0 in an earlier version
   * @param heartbeatSentAt the time that the leader's last heartbeat carried
   */
  record JobCall(
      long call,
      JobCallKind kind,
      JobId id,
      JobDescription job,
      RequestClass requestClass,
      long ageMicros,
      int sentCount,
      long heartbeatSentAt)
      implements HostMessage {

    /** Creates a call; one of an earlier version names no heartbeat. */
    public JobCall {
      heartbeatSentAt = heartbeatSentAt == 0 ? Long.MAX_VALUE : heartbeatSentAt;
    }

    /** Returns the same call as it is sent another time. */
    public JobCall resent(long micros, long leaderHeartbeatSentAt) {
      return new JobCall(
          call, kind, id, job, requestClass, micros, sentCount + 1, leaderHeartbeatSentAt);
    }
  }

  /**
   * Answers a call.
   *
   * @param call the number of the call
   * @param result what became of it
   * @param status the job's status; null if there is no such job
   * @param retryAfterMillis when a refused caller may come back; 0 if that says nothing
   * @param sentCount how many times the call was sent as the leader received it; 0 in an earlier
   *     version
   */
  record JobCallReply(
      long call, JobCallResult result, JobStatus status, long retryAfterMillis, int sentCount)
      implements HostMessage {

    /** Creates a reply that answers the call however often it was sent. */
    public JobCallReply(long call, JobCallResult result, JobStatus status, long retryAfterMillis) {
      this(call, result, status, retryAfterMillis, 0);
    }
  }

  /** Asks a host to follow the leader of a term, which stops in an orderly way. */
  record HandOver(long term) implements HostMessage {}

  /** Asks a host whether it hears a leader. */
  record LeaderQuery(String host) implements HostMessage {}

  /**
   * Tells what the sender knows of a leader.
   *
   * @param host the sender
   * @param hears whether it hears a leader, or leads
   * @param leads whether it leads itself
   * @param term the highest term that it knows of
   */
  record LeaderQueryReply(String host, boolean hears, boolean leads, long term)
      implements HostMessage {}

  /** Asks for the configuration, if the receiver's is newer than a version. */
  record ConfigQuery(long newerThan) implements HostMessage {}

  /** Passes on the text of a configuration as the operator wrote it. */
  record ConfigCopy(String text) implements HostMessage {}

  /** Asks for the drained failure domains, if the receiver knows them as of a later revision. */
  record DrainQuery(long newerThan) implements HostMessage {}

  /**
   * Passes on which failure domains are drained.
   *
   * @param revision the store revision as of which they are
   * @param domains the drained domains
   */
  record DrainCopy(long revision, Set<String> domains) implements HostMessage {}

  /** Tells a host the workers of its failure domain, in case that is cut off. */
  record DomainWorkers(List<WorkerInfo> workers) implements HostMessage {}

  /**
   * Says that a host stands as leader of its failure domain, or leads it.
   *
   * @param host the candidate
   * @param failureDomain its failure domain
   * @param leads whether it leads already
   * @param drainRevision the store revision as of which it knows the drained failure domains; 0 if
   *     it does not
   * @param sentAt when it was sent, on the candidate's steady clock in microseconds
   */
  record DomainHeartbeat(
      String host, String failureDomain, boolean leads, long drainRevision, long sentAt)
      implements HostMessage {}

  /**
   * Answers a candidate's heartbeat.
   *
   * @param accepts whether the sender accepts the candidate
   * @param mayLead whether the sender could take over from the candidate: it is not stopping
   * @param lacksState whether the sender knows no host, as it has started behind the cut
   * @param drainRevision the store revision as of which the sender knows the drained failure
   *     domains; 0 if it does not
   * @param heartbeatSentAt the time that the heartbeat carried
   * @param leaderFoundBy the time that the heartbeat carried by which the sender found the leader;
   *     it has ended all earlier jobs since. 0 if it doesn't follow the leader
   */
  record DomainHeartbeatReply(
      boolean accepts,
      boolean mayLead,
      boolean lacksState,
      long drainRevision,
      long heartbeatSentAt,
      long leaderFoundBy)
      implements HostMessage {}

  /**
   * Tells a host that has started behind a cut what the other hosts of its failure domain know.
   *
   * @param term the highest term that the sender knows of
   * @param leader the partition's leader of that term
   * @param hosts the hosts that the sender knows, those of other failure domains included
   * @param workers the workers of the failure domain
   * @param config the text of the configuration as the operator wrote it; empty if none is known
   */
  record DomainState(
      long term, String leader, List<KnownHost> hosts, List<WorkerInfo> workers, String config)
      implements HostMessage {}

  /**
   * A host as another one knows it.
   *
   * @param name its name
   * @param address its peer address
   * @param failureDomain its failure domain
   * @param startsPerSecond what it could carry as leader
   */
  record KnownHost(String name, String address, String failureDomain, long startsPerSecond) {}

  /**
   * Says that the leader of a failure domain stops and starts nothing more; its hosts are free to
   * accept its successor.
   *
   * @param successor the host that is to lead
   * @param usesWorkers whether the workers were found free of other leaders' runs
   * @param kept the jobs that the sender still has runs of; told to the successor only
   * @param workersInUse the workers on which the sender found no lease of another leader; told to
   *     the successor only
   */
  record DomainHandOver(
      String successor, boolean usesWorkers, List<JobId> kept, List<String> workersInUse)
      implements HostMessage {

    /** Creates a message; one of an earlier version names no workers. */
    public DomainHandOver {
      workersInUse = workersInUse == null ? List.of() : workersInUse;
    }
  }
}
