package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;

/**
 * What this host remembers of one submission.
 *
 * <p>The tasks are dropped once the job has ended; the id and digest stay until no resubmission may
 * come. Confined to one thread.
 */
final class Submission {

  private final SubmissionId id;
  private final String digest;
  private final TeamId team;
  private final long keepUntil;
  private JobSpec job;
  private List<Waiter> waiters = new ArrayList<>(1);
  private String shard;
  private ClaimEntry entry;
  private long patience;
  private boolean givenUp;
  private boolean answered;

  Submission(JobSpec job, long keepUntil) {
    this.id = job.id();
    this.digest = job.digest();
    this.team = job.team();
    this.job = job;
    this.keepUntil = keepUntil;
  }

  SubmissionId id() {
    return id;
  }

  String digest() {
    return digest;
  }

  TeamId team() {
    return team;
  }

  boolean hasDigest(String other) {
    return digest.equals(other);
  }

  /** Returns the job; null once it has ended. */
  JobSpec job() {
    return job;
  }

  long keepUntil() {
    return keepUntil;
  }

  void startClaim(String ofShard, ClaimEntry claim) {
    shard = ofShard;
    entry = claim;
  }

  /** Returns until when claims are tried, in microseconds since the epoch. */
  long patience() {
    return patience;
  }

  void setPatience(long time) {
    patience = time;
  }

  String shard() {
    return shard;
  }

  ClaimEntry entry() {
    return entry;
  }

  void addWaiter(Waiter waiter) {
    waiters.add(waiter);
  }

  void removeWaiter(Waiter waiter) {
    waiters.remove(waiter);
  }

  List<Waiter> takeWaiters() {
    List<Waiter> taken = waiters;
    waiters = new ArrayList<>(0);
    return taken;
  }

  /** Tells whether this host will never start it under the present claim. */
  boolean isGivenUp() {
    return givenUp;
  }

  void setGivenUp() {
    givenUp = true;
  }

  boolean isAnswered() {
    return answered;
  }

  void setAnswered() {
    answered = true;
    job = null;
  }
}
