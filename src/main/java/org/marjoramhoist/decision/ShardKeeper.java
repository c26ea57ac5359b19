package org.marjoramhoist.decision;

import java.util.List;
import org.marjoramhoist.decision.Action.LogChange;
import org.marjoramhoist.decision.Event.WriteResult;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.message.PeerMessage.ClaimReply;
import org.marjoramhoist.message.PeerMessage.ClaimVerdict;
import org.marjoramhoist.message.PeerMessage.Replicate;
import org.marjoramhoist.message.PeerMessage.ReplicateAck;
import org.marjoramhoist.message.PeerMessage.Snapshot;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.SubmissionId;

/**
 * One shard as this host sees it: as its owner, its standby, or neither.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The owner grants a claim only after every member named in the shard's record holds it: the
 *       standby in its memory or, without a standby, the store under the record's revision.
 *   <li>While a write that names a standby is in flight, a claim needs that standby too; while one
 *       that drops the standby is in flight, nothing is granted.
 *   <li>A standby that tries to take over has sealed its copy first, and the seal ends only with
 *       the epoch, whatever became of the write.
 *   <li>A write whose outcome is unclear is settled by reading, and repeated only unchanged.
 * </ul>
 *
 * <p>Confined to one thread.
 */
final class ShardKeeper {

  private static final long STORE_RETRY = 500 * Policy.MICROS_PER_MILLI;
  private static final long STORE_TIMEOUT = 10 * Policy.MICROS_PER_SECOND;
  private static final long FRESH_READ = Policy.MICROS_PER_SECOND;
  private static final long FOREIGN_RETRY = 2 * Policy.MICROS_PER_SECOND;
  private static final long ADOPTION_TIMEOUT = 3 * Policy.MICROS_PER_SECOND;
  private static final long STABLE_TIME = 5 * Policy.MICROS_PER_SECOND;

  private final String key;
  private final Policy policy;
  private final Membership membership;
  private final GrantQueue.Replies replies;
  private final ClaimTable table = new ClaimTable();
  private final StandbyCopy copy = new StandbyCopy(table);
  private final GrantQueue queue;

  private ShardRecord record;
  private long revision = -1;
  private long changedAt;
  private boolean ready;
  private Follower standby;
  private boolean standbyBroken;
  private Follower candidate;

  private Action.WriteShard writing;
  private long writeDeadline;
  private boolean reading;
  private long readDeadline;
  private boolean mustRead = true;
  private long lastReached = Long.MIN_VALUE / 2;
  private long nextStoreCall;
  private long nextForeignTry;

  ShardKeeper(String key, Policy policy, Membership membership, GrantQueue.Replies replies) {
    this.key = key;
    this.policy = policy;
    this.membership = membership;
    this.replies = replies;
    this.queue = new GrantQueue(key, replies);
  }

  boolean isOwner() {
    return record != null && record.owner().equals(policy.self());
  }

  private boolean isNamedStandby() {
    return record != null && policy.self().equals(record.standby());
  }

  /** Tells whether this host decides and every claim is safe with another member or the store. */
  boolean isReady() {
    return isOwner() && ready;
  }

  long epoch() {
    return record == null ? 0 : record.epoch();
  }

  int claimCount() {
    return table.size();
  }

  ShardRecord record() {
    return record;
  }

  /** Decides on a claim, at once or when the members have it. */
  void claim(long now, HostRef from, long call, ClaimEntry entry, Actions out) {
    if (!isOwner()) {
      answer(from, call, ClaimVerdict.NOT_OWNER, null, out);
      return;
    }
    table.expire(now);
    ClaimEntry held = table.get(entry.id());
    if (held != null && !mayReplace(held, entry)) {
      boolean same = held.digest().equals(entry.digest());
      answer(from, call, same ? ClaimVerdict.TAKEN : ClaimVerdict.CONFLICT, held, out);
      return;
    }
    if (!canDecide(now) || table.size() >= policy.maxClaimsPerShard()) {
      answer(from, call, ClaimVerdict.UNAVAILABLE, null, out);
      return;
    }
    table.put(entry);
    long standbySeq = pass(standby, entry, false, out);
    long candidateSeq = pass(candidate, entry, false, out);
    queue.add(from, call, entry, now, standbySeq, candidateSeq);
    logClaims(out);
  }

  /** Only the starter itself can say that its earlier claim came to nothing. */
  private static boolean mayReplace(ClaimEntry held, ClaimEntry entry) {
    return held.starter().equals(entry.starter()) && entry.nonce() > held.nonce();
  }

  private boolean canDecide(long now) {
    return ready && now >= record.blindUntil();
  }

  private long pass(Follower to, ClaimEntry entry, boolean release, Actions out) {
    return to == null ? 0 : to.replicate(key, record.epoch(), entry, release, out);
  }

  private void answer(HostRef to, long call, ClaimVerdict verdict, ClaimEntry holder, Actions out) {
    replies.reply(to, new ClaimReply(call, verdict, holder), out);
  }

  /** Tells who may start a submission. */
  void locate(long now, HostRef from, long call, SubmissionId id, Actions out) {
    ClaimEntry held = table.get(id);
    if (held != null) {
      answer(from, call, ClaimVerdict.TAKEN, held, out);
    } else if (isOwner() && canDecide(now)) {
      answer(from, call, ClaimVerdict.UNCLAIMED, null, out);
    } else {
      answer(from, call, ClaimVerdict.UNAVAILABLE, null, out);
    }
  }

  /** Drops a claim that its starter will never use. */
  void release(HostRef from, ClaimEntry entry, Actions out) {
    if (isOwner() && from.equals(entry.starter()) && table.remove(entry)) {
      pass(standby, entry, true, out);
      pass(candidate, entry, true, out);
    }
  }

  void snapshot(HostRef from, Snapshot part, Actions out) {
    boolean stale = isNamedStandby() && part.epoch() < epoch();
    if (isOwner() || writing != null || stale) {
      out.send(from.host(), new ReplicateAck(key, part.epoch(), -1));
      return;
    }
    copy.snapshot(from, part, out);
  }

  void replicate(HostRef from, Replicate change, Actions out) {
    if (isOwner()) {
      out.send(from.host(), new ReplicateAck(key, change.epoch(), -1));
      return;
    }
    copy.replicate(from, change, out);
    noteEpoch(change.epoch());
  }

  /** Takes in that a host says it owns the shard. */
  void ownerSeen(HostRef owner, long epoch) {
    boolean concerned = isOwner() || copy.isCompleteFrom(owner) || isNamedStandby();
    if (concerned && !owner.equals(policy.self())) {
      noteEpoch(epoch);
    }
  }

  private void noteEpoch(long epoch) {
    if (epoch > epoch()) {
      mustRead = true;
    }
  }

  void acked(HostRef from, ReplicateAck ack, Actions out) {
    Follower follower = isOwner() ? followerOf(from) : null;
    if (follower == null) {
      return;
    }
    if (ack.seq() >= 0) {
      follower.ack(ack.seq());
      queue.grantHeld(this::isHeld, out);
    } else if (follower == candidate) {
      candidate = null;
    } else {
      standbyBroken = true;
    }
  }

  private Follower followerOf(HostRef ref) {
    if (standby != null && standby.ref().equals(ref)) {
      return standby;
    }
    return candidate != null && candidate.ref().equals(ref) ? candidate : null;
  }

  private boolean isHeld(long standbySeq, long candidateSeq) {
    boolean byStandby = standby != null && !standbyBroken && standby.acked() >= standbySeq;
    if (writing == null) {
      return byStandby;
    }
    boolean names = writing.record().standby() != null;
    return byStandby && names && candidate != null && candidate.acked() >= candidateSeq;
  }

  private void logClaims(Actions out) {
    if (isOwner() && ready && record.standby() == null && writing == null) {
      queue.log(revision, record.epoch(), table, out);
    }
  }

  void logged(long now, Event.ClaimsLogged done, Actions out) {
    if (!queue.isInFlight(done.epoch(), done.batch())) {
      return;
    }
    if (done.result() == WriteResult.DONE) {
      queue.grantLogged(out);
      logClaims(out);
    } else {
      nextStoreCall = now + STORE_RETRY;
      mustRead |= done.result() == WriteResult.REFUSED;
    }
  }

  /** The connection to a host broke; a copy in the making there may have a gap. */
  void linkLost(HostRef ref) {
    if (candidate != null && candidate.ref().equals(ref) && !candidate.isCurrent()) {
      candidate = null;
    }
    if (standby != null && standby.ref().equals(ref) && !standby.isCurrent()) {
      standbyBroken = true;
    }
  }

  /**
   * Does what is due: reads the record, takes over, adopts a standby, settles an unclear write.
   *
   * @param settled whether this host has listened long enough to know the others
   * @param selfFit whether this host takes roles
   */
  void tick(long now, boolean settled, boolean selfFit, Actions out) {
    table.expire(now);
    reading &= now < readDeadline;
    if (reading || now < nextStoreCall) {
      return;
    }
    if (writing != null) {
      if (now >= writeDeadline) {
        read(now, false, out);
      }
      return;
    }
    if (mustRead) {
      read(now, false, out);
    } else if (isOwner()) {
      tendOwned(now, selfFit, out);
    } else if (settled && selfFit) {
      tendOther(now, out);
    }
  }

  private void tendOther(long now, Actions out) {
    boolean first = membership.rank(key, true).get(0).equals(policy.self());
    if (record == null) {
      if (first) {
        write(now, new ShardRecord(1, policy.self(), null, 0), LogChange.REPLACE, out);
      }
    } else if (isNamedStandby()) {
      tendStandby(now, first, out);
    } else if (first && membership.isUnfit(record.owner()) && now >= nextForeignTry) {
      nextForeignTry = now + FOREIGN_RETRY;
      tendForeign(now, out);
    }
  }

  private void tendStandby(long now, boolean first, Actions out) {
    boolean ownerUnfit = membership.isUnfit(record.owner());
    boolean preferred = first && now - changedAt >= STABLE_TIME;
    if (!copy.isCompleteFrom(record.owner()) || !(ownerUnfit || preferred)) {
      return;
    }
    if (now - lastReached > FRESH_READ) {
      read(now, false, out);
      return;
    }
    copy.seal(record.epoch());
    write(now, record.next(policy.self(), null), LogChange.REPLACE, out);
  }

  /** A host that is not a member may take over only what the store fences or what surely ended. */
  private void tendForeign(long now, Actions out) {
    if (record.standby() == null) {
      write(now, record.next(policy.self(), null), LogChange.KEEP, out);
    } else if (haveEnded(record)) {
      long blindUntil = now + policy.maxDeadline() + policy.resubmitGrace();
      ShardRecord next = new ShardRecord(record.epoch() + 1, policy.self(), null, blindUntil);
      write(now, next, LogChange.REPLACE, out);
    } else {
      mustRead = true;
    }
  }

  private boolean haveEnded(ShardRecord shard) {
    return membership.isSuperseded(shard.owner()) && membership.isSuperseded(shard.standby());
  }

  private void tendOwned(long now, boolean selfFit, Actions out) {
    if (!ready) {
      read(now, true, out);
      return;
    }
    if (queue.isLogging() && nextStoreCall > 0) {
      nextStoreCall = 0;
      queue.logAgain(out);
      return;
    }
    logClaims(out);
    if (standby != null && isLost(now)) {
      candidate = null;
      write(now, record.next(policy.self(), null), LogChange.REPLACE, out);
    } else if (selfFit || standby == null) {
      adoptStandby(now, selfFit, out);
    }
  }

  private boolean isLost(long now) {
    return standbyBroken
        || membership.isUnfit(standby.ref())
        || queue.hasWaitedSince(now - policy.claimTimeout());
  }

  private void adoptStandby(long now, boolean selfFit, Actions out) {
    if (candidate != null && (membership.isUnfit(candidate.ref()) || isLate(now))) {
      candidate = null;
    }
    if (candidate != null) {
      if (candidate.hasSnapshot() && candidate.isCurrent() && !queue.isLogging()) {
        write(now, record.next(policy.self(), candidate.ref()), LogChange.DROP, out);
      }
      return;
    }
    HostRef wanted = wantedStandby(selfFit);
    boolean stays = standby != null && now - changedAt < STABLE_TIME;
    if (wanted == null || stays || (standby != null && standby.ref().equals(wanted))) {
      return;
    }
    candidate = new Follower(wanted, now + ADOPTION_TIMEOUT);
    candidate.sendSnapshot(key, record.epoch(), table.all(), out);
  }

  private boolean isLate(long now) {
    return !candidate.isCurrent() && now >= candidate.deadline();
  }

  private HostRef wantedStandby(boolean selfFit) {
    for (HostRef ref : membership.rank(key, selfFit)) {
      if (!ref.equals(policy.self())) {
        return ref;
      }
    }
    return null;
  }

  private void write(long now, ShardRecord next, LogChange change, Actions out) {
    List<ClaimEntry> logged = change == LogChange.REPLACE ? table.all() : List.of();
    writing = new Action.WriteShard(key, Math.max(0, revision), next, change, logged);
    writeDeadline = now + STORE_TIMEOUT;
    out.add(writing);
  }

  private void read(long now, boolean withClaims, Actions out) {
    reading = true;
    readDeadline = now + STORE_TIMEOUT;
    out.add(new Action.ReadShard(key, withClaims));
  }

  void written(long now, Event.ShardWritten done, Actions out) {
    if (writing == null || done.epoch() != writing.record().epoch()) {
      return;
    }
    if (done.result() == WriteResult.DONE) {
      ShardRecord next = writing.record();
      lastReached = now;
      adopt(now, next, done.revision(), out);
    } else if (done.result() == WriteResult.REFUSED) {
      writing = null;
      mustRead = true;
    } else {
      nextStoreCall = now + STORE_RETRY;
      writeDeadline = now;
    }
  }

  /** Takes in the record that the store holds, and settles a write whose outcome was unclear. */
  void wasRead(long now, Event.ShardRead read, Actions out) {
    reading = false;
    if (!read.reached()) {
      nextStoreCall = now + STORE_RETRY;
      return;
    }
    lastReached = now;
    mustRead = false;
    if (read.revision() != revision) {
      adopt(now, read.record(), read.revision(), out);
    } else if (writing != null && now >= writeDeadline) {
      writeDeadline = now + STORE_TIMEOUT;
      out.add(writing);
    }
    if (read.claims() != null && isOwner() && !ready) {
      read.claims().forEach(table::put);
      ready = true;
      logClaims(out);
    }
  }

  private void adopt(long now, ShardRecord next, long newRevision, Actions out) {
    final boolean wasOwner = isOwner();
    final boolean holdsAll = (wasOwner && ready) || holdsAllOf(next);
    writing = null;
    record = next;
    revision = newRevision;
    changedAt = now;
    if (isOwner()) {
      becomeOwner(wasOwner, holdsAll, out);
    } else if (wasOwner) {
      ceaseOwner(out);
    }
  }

  private boolean holdsAllOf(ShardRecord next) {
    if (record == null) {
      return next != null && next.epoch() == 1;
    }
    boolean blind = next != null && next.blindUntil() > record.blindUntil();
    return blind || (isNamedStandby() && copy.isCompleteFrom(record.owner()));
  }

  private void becomeOwner(boolean wasOwner, boolean holdsAll, Actions out) {
    ready = holdsAll;
    if (!wasOwner) {
      candidate = null;
      copy.discard();
      out.log(LogEvent.SHARD_OWNED, "shard=" + key + " epoch=" + record.epoch());
    }
    queue.requeue();
    standbyBroken = false;
    HostRef named = record.standby();
    if (named == null) {
      standby = null;
      logClaims(out);
      return;
    }
    promote(named);
    out.log(LogEvent.SHARD_STANDBY_NAMED, "shard=" + key + " standby=" + named);
    queue.grantHeld(this::isHeld, out);
  }

  /** Makes the candidate the standby; one that was given up meanwhile can't be relied on. */
  private void promote(HostRef named) {
    boolean kept = candidate != null && candidate.ref().equals(named);
    standby = kept ? candidate : new Follower(named, 0);
    standbyBroken = !kept;
    candidate = null;
    queue.promoteCandidate();
  }

  private void ceaseOwner(Actions out) {
    standby = null;
    candidate = null;
    ready = false;
    queue.refuseAll(out);
    table.clear();
    out.log(LogEvent.SHARD_LOST, "shard=" + key + " epoch=" + epoch());
  }
}
