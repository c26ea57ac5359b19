package org.marjoramhoist.decision;

import org.marjoramhoist.model.WorkerId;
import org.marjoramhoist.resource.WorkerSpec;

/**
 * What this host knows of one worker.
 *
 * <p>Invariant: {@code running} counts this host's attempts whose end is not known. Confined to one
 * thread.
 */
final class WorkerState {

  private WorkerSpec spec;
  private final WorkerHealth health = new WorkerHealth();
  private int running;
  private int share;
  private boolean leaving;
  private long refusedUntil;
  private boolean removed;

  WorkerState(WorkerSpec spec) {
    this.spec = spec;
    this.leaving = spec.leaving();
    this.share = spec.slots();
  }

  WorkerId id() {
    return spec.id();
  }

  WorkerSpec spec() {
    return spec;
  }

  void update(WorkerSpec next) {
    boolean moved = !next.address().equals(spec.address());
    if (moved || spec.leaving() != next.leaving()) {
      leaving = next.leaving();
    }
    spec = next;
  }

  WorkerHealth health() {
    return health;
  }

  int running() {
    return running;
  }

  void started() {
    running++;
  }

  void ended() {
    running--;
  }

  int share() {
    return share;
  }

  void setShare(int slots) {
    share = slots;
  }

  boolean isLeaving() {
    return leaving;
  }

  void leave() {
    leaving = true;
  }

  void remove() {
    removed = true;
  }

  /** Offers nothing to the worker until the time, since it has just refused an attempt. */
  void holdOff(long until) {
    refusedUntil = until;
  }

  /** Returns how many more attempts this host may start on the worker. */
  int free(long now) {
    if (leaving || removed || now < refusedUntil) {
      return 0;
    }
    return Math.min(share, health.limit(now, spec.slots())) - running;
  }
}
