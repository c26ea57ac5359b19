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
  private int base;
  private int borrowed;
  private int closing;
  private int lent;
  private boolean leaving;
  private long refusedUntil;
  private boolean removed;

  WorkerState(WorkerSpec spec) {
    this.spec = spec;
    this.leaving = spec.leaving();
    this.base = spec.slots();
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

  /** Returns how many attempts this host may hold: its own share and what it has borrowed. */
  int share() {
    return base - lent + borrowed;
  }

  /** Returns this host's own share of the slots. */
  int base() {
    return base;
  }

  void setBase(int slots) {
    base = slots;
  }

  void borrow(int slots) {
    borrowed += slots;
  }

  /** Lets borrowed slots take no further attempts; each is given back once it is free. */
  void closeLoan(int slots) {
    borrowed -= slots;
    closing += slots;
  }

  /** Returns how many closed slots are free to be given back. */
  int returnable() {
    return Math.max(0, Math.min(closing, share() + closing - running));
  }

  void returned(int slots) {
    closing -= slots;
  }

  /** Returns how many borrowed slots take attempts. */
  int borrowed() {
    return borrowed;
  }

  void lend(int slots) {
    lent += slots;
  }

  void takeBack(int slots) {
    lent = Math.max(0, lent - slots);
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

  /** Returns how many slots of its own share this host may use or lend, lent ones included. */
  int own(long now) {
    return isBarred(now) ? 0 : Math.min(base, health.limit(now, spec.slots()));
  }

  private boolean isBarred(long now) {
    return leaving || removed || now < refusedUntil;
  }

  /** Returns how many more attempts this host may start on the worker. */
  int free(long now) {
    if (isBarred(now)) {
      return 0;
    }
    return Math.min(share(), health.limit(now, spec.slots())) - running;
  }
}
