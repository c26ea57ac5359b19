package org.marjoramhoist.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.marjoramhoist.model.WorkerId;
import org.marjoramhoist.resource.Needs;
import org.marjoramhoist.resource.UpstreamSpec;
import org.marjoramhoist.resource.WorkerSpec;

/**
 * The workers of one upstream, and the choice of one for a task.
 *
 * <p>Workers with a free slot are kept in the order of their speed and load, so that a choice costs
 * the logarithm of their number. Invariant: {@code available} holds exactly the workers that had a
 * free slot when last refreshed. Confined to one thread.
 */
final class WorkerPool {

  private static final double SPEED_STEP = StrictMath.log(1.25);
  private static final int CANDIDATES = 4;
  private static final double WORTH_WAITING = 1.5;
  private static final double EJECTED_SHARE = 1.0 / 3;

  /** A worker at its place in the order. */
  private record Place(int speed, double load, long tie, int free, WorkerState worker) {}

  /** What a worker adds to the sums. */
  private record Counted(int speed, int usable, int own) {}

  private record Wake(long at, WorkerState worker) {}

  private static final Comparator<Place> ORDER =
      Comparator.comparingInt(Place::speed)
          .thenComparingDouble(Place::load)
          .thenComparingLong(Place::tie)
          .thenComparing(place -> place.worker.id());

  private final RunTimes runTimes;
  private final Map<WorkerId, WorkerState> workers = new HashMap<>();
  private final Map<WorkerId, Place> places = new HashMap<>();
  private final TreeSet<Place> available = new TreeSet<>(ORDER);
  private final PriorityQueue<Wake> wakes = new PriorityQueue<>(Comparator.comparingLong(Wake::at));
  private final Map<Integer, Integer> slotsBySpeed = new HashMap<>();
  private final Map<WorkerId, Counted> counted = new HashMap<>();
  private int usableSlots;
  private int ownSlots;
  private int freeSlots;
  private long tie;

  WorkerPool(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /** Takes in the declared workers; one that is no longer declared gets nothing more. */
  void update(long now, UpstreamSpec spec) {
    Map<WorkerId, WorkerSpec> declared = new HashMap<>();
    spec.workers().forEach(worker -> declared.put(worker.id(), worker));
    for (WorkerState worker : workers.values().toArray(WorkerState[]::new)) {
      if (!declared.containsKey(worker.id())) {
        worker.remove();
        refresh(now, worker);
        workers.remove(worker.id());
      }
    }
    for (WorkerSpec worker : spec.workers()) {
      WorkerState state = workers.get(worker.id());
      if (state == null) {
        state = new WorkerState(worker);
        workers.put(worker.id(), state);
      } else {
        state.update(worker);
      }
      refresh(now, state);
    }
  }

  Iterable<WorkerState> workers() {
    return workers.values();
  }

  WorkerState get(WorkerId id) {
    return workers.get(id);
  }

  int size() {
    return workers.size();
  }

  /** Puts the worker at its place after anything about it has changed. */
  void refresh(long now, WorkerState worker) {
    Place old = places.remove(worker.id());
    if (old != null) {
      available.remove(old);
      freeSlots -= old.free;
    }
    count(now, worker);
    if (worker.free(now) <= 0) {
      return;
    }
    int speed = speedOf(worker);
    double load = (double) worker.running() / worker.spec().slots();
    Place place = new Place(speed, load, tie++, worker.free(now), worker);
    places.put(worker.id(), place);
    available.add(place);
    freeSlots += place.free;
  }

  private int speedOf(WorkerState worker) {
    return (int) Math.round(StrictMath.log(runTimes.factor(worker.id())) / SPEED_STEP);
  }

  /** Keeps the number of usable slots by speed, and of own slots. */
  private void count(long now, WorkerState worker) {
    boolean declared = workers.get(worker.id()) == worker;
    int usable = declared ? Math.max(0, worker.free(now) + worker.running()) : 0;
    int own = declared ? worker.own(now) : 0;
    Counted next = new Counted(speedOf(worker), usable, own);
    Counted old = counted.put(worker.id(), next);
    if (old != null) {
      slotsBySpeed.merge(old.speed, -old.usable, Integer::sum);
      usableSlots -= old.usable;
      ownSlots -= old.own;
    }
    slotsBySpeed.merge(next.speed, usable, Integer::sum);
    usableSlots += usable;
    ownSlots += own;
  }

  /** Returns how many slots this host leaves free at present. */
  int freeSlots() {
    return freeSlots;
  }

  /** Returns the workers with a free slot, the slowest first. */
  List<WorkerState> slowestAvailable() {
    return available.descendingSet().stream().map(Place::worker).toList();
  }

  /** Returns how many slots this host may use at present. */
  int usableSlots() {
    return usableSlots;
  }

  /** Returns how many slots are this host's own share at present, lent ones included. */
  int ownSlots() {
    return ownSlots;
  }

  /** Returns how many slots this host can count on, as what it lends comes back soon. */
  int lastingSlots() {
    return Math.max(usableSlots, ownSlots);
  }

  /** Looks again at the worker once the time has come. */
  void wakeAt(long at, WorkerState worker) {
    wakes.add(new Wake(at, worker));
  }

  void tick(long now) {
    while (!wakes.isEmpty() && wakes.peek().at <= now) {
      WorkerState worker = wakes.poll().worker;
      if (workers.get(worker.id()) == worker) {
        refresh(now, worker);
      }
    }
  }

  /** Tells whether any declared worker could ever run such a task. */
  boolean canEverRun(Needs needs) {
    return workers.values().stream()
        .anyMatch(worker -> !worker.isLeaving() && worker.spec().needs().covers(needs));
  }

  boolean hasAvailable() {
    return !available.isEmpty();
  }

  /**
   * Chooses a worker for the next task of a job.
   *
   * @param expected the expected run time on a worker of factor 1, in microseconds
   * @param waiting how many tasks wait for the same upstream
   * @return the worker; null if none is free, or a faster one will be free soon enough
   */
  WorkerState choose(JobRun job, double expected, int waiting) {
    Place best = null;
    int bestRack = 0;
    int seen = 0;
    for (Place place : available) {
      if (best != null && (place.speed > best.speed || seen >= CANDIDATES)) {
        break;
      }
      boolean fits = place.worker.spec().needs().covers(job.requestClass().needs());
      if (!fits || (job.avoids(place.worker.id()) && workers.size() > 1)) {
        continue;
      }
      seen++;
      int rack = job.runningInRack(place.worker.spec().rack());
      if (best == null || rack < bestRack) {
        best = place;
        bestRack = rack;
      }
    }
    if (best == null || isWorthWaiting(best, expected, waiting)) {
      return null;
    }
    return best.worker;
  }

  /** Tells whether a slot of a faster worker, once free, would still end the task sooner. */
  private boolean isWorthWaiting(Place best, double expected, int waiting) {
    double slow = StrictMath.exp(best.speed * SPEED_STEP);
    int fasterSlots = 0;
    double fasterRate = 0;
    for (Map.Entry<Integer, Integer> entry : slotsBySpeed.entrySet()) {
      if (entry.getKey() < best.speed) {
        fasterSlots += entry.getValue();
        fasterRate += entry.getValue() / StrictMath.exp(entry.getKey() * SPEED_STEP);
      }
    }
    if (fasterSlots == 0) {
      return false;
    }
    double fast = fasterSlots / fasterRate;
    if (slow < WORTH_WAITING * fast) {
      return false;
    }
    double wait = waiting * expected / fasterRate;
    return wait + fast * expected < slow * expected;
  }

  /** Tells whether one more worker may be ejected. */
  boolean mayEject() {
    long ejected =
        workers.values().stream()
            .filter(worker -> worker.health().state() == WorkerHealth.State.EJECTED)
            .count();
    return ejected + 1 <= Math.max(1, workers.size() * EJECTED_SHARE);
  }
}
