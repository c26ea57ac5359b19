package org.marjoramhoist.log;

/**
 * The numbered log events; {@code docs/EVENTS.md} lists the same numbers, and a test compares them.
 */
public enum LogEvent {
  /** The process started. */
  PROCESS_STARTED(1001),
  /** The process stops in an orderly way. */
  PROCESS_STOPPING(1002),
  /** The process has stopped. */
  PROCESS_STOPPED(1003),
  /** A supervised part failed and is started again. */
  PART_RESTARTED(1004),
  /** A supervised part failed too often; the process stops. */
  PART_GAVE_UP(1005),
  /** The drain deadline passed with work in flight. */
  DRAIN_INCOMPLETE(1006),
  /** The settings were read again. */
  SETTINGS_READ(1007),
  /** How many connections of clients were closed and requests refused, once a second at most. */
  CLIENTS_REFUSED(1009),
  /** No connection can be accepted for want of descriptors; tried again a little later. */
  ACCEPT_FAILED(1010),
  /** What became of the requests since the stop began, and of those open as the listener closed. */
  REQUESTS_AT_STOP(1008),
  /** A host was heard for the first time. */
  PEER_JOINED(2001),
  /** A host was not heard for the suspicion time. */
  PEER_SUSPECTED(2002),
  /** A host was not heard for the death time, or a newer incarnation replaced it. */
  PEER_DEAD(2003),
  /** A host was refused at the hello. */
  PEER_REFUSED(2004),
  /** A connection to a host broke. */
  PEER_LINK_LOST(2005),
  /** A frame could not be read; its connection was closed. */
  PEER_BAD_FRAME(2006),
  /** A message to a host was dropped since its queue was full. */
  PEER_QUEUE_FULL(2007),
  /** This host became the owner of a shard. */
  SHARD_OWNED(3001),
  /** This host is no longer a member of a shard. */
  SHARD_LOST(3002),
  /** A standby holds all claims of a shard and was named in its record. */
  SHARD_STANDBY_NAMED(3003),
  /** A shard can't decide: its members are gone or the store can't be reached. */
  SHARD_UNAVAILABLE(3004),
  /** The claim layout in the store differs from the settings. */
  LAYOUT_MISMATCH(3005),
  /** This host leads the partition. */
  LEADER_ELECTED(3101),
  /** This host no longer leads the partition. */
  LEADER_STEPPED_DOWN(3102),
  /** Another host leads the partition. */
  LEADER_CHANGED(3103),
  /** The leader asks another host to lead. */
  LEADER_HANDS_OVER(3105),
  /** Nothing was heard of the leader for the suspicion time. */
  LEADER_SUSPECTED(3104),
  /** No run that an earlier leader ordered can be at work out of the leader's sight any more. */
  EARLIER_RUNS_SETTLED(3106),
  /** What the leader knows and how its loop keeps up, about once a second. */
  LEADER_STATUS(3107),
  /** This host leads its failure domain, which is cut off. */
  DOMAIN_LEADER_ELECTED(3108),
  /** This host no longer leads its failure domain. */
  DOMAIN_LEADER_STEPPED_DOWN(3109),
  /** Another host leads this host's failure domain, which is cut off. */
  DOMAIN_LEADER_FOUND(3110),
  /** This host has started behind a cut and was told the hosts and workers of its domain. */
  DOMAIN_STATE_LEARNED(3114),
  /** This host led its failure domain and stops; another host is to lead it. */
  DOMAIN_LEADER_HANDS_OVER(3115),
  /** This host found its failure domain cut off from the other hosts and the store. */
  DOMAIN_CUT_OFF(3116),
  /** The failure domains whose workers another leader may be using have changed. */
  DOMAINS_SHARED(3117),
  /** What share of their entitlement groups of callers lately got, about once a second. */
  SERVED_SHARES(3120),
  /** The leader opened a link to a host; its earlier links to that host are no longer read. */
  HOST_LINK_OPENED(3121),
  /** A submission was accepted. */
  JOB_ACCEPTED(4001, true),
  /** A submission was refused. */
  JOB_REFUSED(4002, true),
  /** A job is complete. */
  JOB_COMPLETED(4003, true),
  /** A job failed. */
  JOB_FAILED(4004, true),
  /** A job was withdrawn, or given up with tasks started. */
  JOB_ABANDONED(4005, true),
  /** A caller was told that its job did not succeed. */
  JOB_ANSWERED(4006, true),
  /** The stored durable jobs are known to a new leader. */
  JOBS_LOADED(4007),
  /** A stored job can't be read; it does not go on. */
  STORED_JOB_INVALID(4008),
  /** The store refused a batch of changes of jobs, as its conditions did not hold. */
  JOB_BATCH_REFUSED(4009),
  /** A worker in the stored roster can't be read. */
  STORED_WORKER_INVALID(4010),
  /** A run was ordered. */
  RUN_ORDERED(4011),
  /** A worker rejected the order to start a run. */
  RUN_REJECTED(4012),
  /** The order to start a run got no answer. */
  RUN_UNANSWERED(4013),
  /** A run failed. */
  RUN_FAILED(4014),
  /** A run is over without a result. */
  RUN_LOST(4015),
  /** Reports show no progress of a run; it is stopped and run elsewhere. */
  RUN_STALLED(4016),
  /** A run was lost with its worker, whose process has probably ended; its task is run alone. */
  TASK_SUSPECTED(4017),
  /** A run that had been given up, so that its task was started again, has succeeded. */
  RUN_DONE_LATE(4018),
  /** A leader received a submission that makes a new job, or of a job that is open or complete. */
  JOB_SUBMITTED(4019, true),
  /** A leader received a submission of a job that it ended recently; it makes a new job. */
  JOB_SUBMITTED_AGAIN(4020, true),
  /** A host sent a job to a leader, for the first time or again. */
  JOB_SENT(4021, true),
  /** A host sent its open jobs or calls to a leader again. */
  JOBS_RESUBMITTED(4022),
  /** Workers that answer all else leave the orders to start a task unanswered, again and again. */
  TASK_UNANSWERED(4023),
  /** The store refuses what it is to hold of a job; the others are stored without it. */
  JOB_NOT_STORED(4024),
  /** An attempt ended without a known outcome. */
  ATTEMPT_UNKNOWN(4101),
  /** A worker refused an attempt. */
  ATTEMPT_REFUSED(4102),
  /** An attempt failed on its worker. */
  ATTEMPT_FAILED(4103),
  /** A worker was ejected. */
  WORKER_EJECTED(4201),
  /** A worker is tried again. */
  WORKER_ON_PROBATION(4202),
  /** A worker is healthy again. */
  WORKER_HEALTHY(4203),
  /** A worker leaves and gets no new work. */
  WORKER_LEAVING(4204),
  /** Workers joined the list or left it. */
  WORKERS_CHANGED(4205),
  /** No task is at work on the workers of a drained failure domain, as far as the leader knows. */
  DOMAIN_IDLE(4206),
  /** Renewals to a worker fail, so that nothing is started on it. */
  WORKER_UNREACHABLE(4207),
  /** A worker's process has ended: another one reports for it, or answers at its address. */
  WORKER_REPLACED(4208),
  /** An entry among those of the workers names no worker to use; logged once for each content. */
  WORKER_ENTRY_INVALID(4209),
  /** The leader of a failure domain waits until another leader's lease on a worker has lapsed. */
  WORKER_WITHHELD(4210),
  /** A configuration revision is in force at this host. */
  CONFIG_APPLIED(5001),
  /** An older configuration revision was refused. */
  CONFIG_OLDER_REFUSED(5002),
  /** A stored resource can't be read and was left out. */
  CONFIG_RESOURCE_INVALID(5003),
  /** The operator drains a failure domain; this host knows. */
  DOMAIN_DRAINED(5004),
  /** The operator no longer drains a failure domain; this host knows. */
  DOMAIN_RESTORED(5005),
  /** The store can't be reached. */
  STORE_DOWN(6001),
  /** The store can be reached again. */
  STORE_UP(6002),
  /** The store call budget of this host is used up. */
  STORE_BUDGET_USED(6003),
  /** Accounts were written. */
  ACCOUNTS_WRITTEN(7001),
  /** Accounts were dropped since the backlog is full; the report shows a gap. */
  ACCOUNTS_DROPPED(7002),
  /** A fault of the program itself. */
  INTERNAL_FAULT(9001);

  private final int code;
  private final boolean atEachRequest;

  LogEvent(int code) {
    this(code, false);
  }

  LogEvent(int code, boolean atEachRequest) {
    this.code = code;
    this.atEachRequest = atEachRequest;
  }

  /** Returns whether clients decide how often the event is logged. */
  boolean isAtEachRequest() {
    return atEachRequest;
  }

  /** Returns the event's number, which never changes. */
  public int code() {
    return code;
  }
}
