package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.log.LogEvent;

/**
 * The workers that a leader knows, and whether runs of earlier leaders may be at work out of its
 * sight.
 *
 * <p>The list of workers is never taken for complete, as an entry lapses when its worker does not
 * reach the store. So the roster names all workers that may have been given work. Invariant: a
 * worker gets no work before it is in the stored roster, and stays there while runs may be at work
 * on it or it keeps ends that are not stored. Confined to one thread.
 */
final class WorkerRegistry {

  /** A list that is older was not read again since the store could not be reached. */
  private static final long MAX_LIST_AGE_MICROS = 1_200_000;

  /** How long after the store's return workers may take to be listed again. */
  private static final long RELISTING_MICROS = 2_200_000;

  /** The most ids that a log line names. */
  private static final int MAX_LOGGED_IDS = 8;

  private final long termStart;
  private final long earlierRunsOverAt;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Roster roster = new Roster();
  private final DomainDrains drains = new DomainDrains();
  private boolean listRead;
  private boolean settledLogged;
  private long listReadAt;
  private long relistingEndsAt;

  /**
   * Creates an empty set.
   *
   * @param since the start of the term
   * @param earlierRunsOverAt when no run that an earlier leader ordered can be at work on a worker
   *     that is out of reach
   */
  WorkerRegistry(long since, long earlierRunsOverAt) {
    this.termStart = since;
    this.earlierRunsOverAt = earlierRunsOverAt;
  }

  /** Returns a worker; null if it is not known. */
  Worker find(String id) {
    return workers.get(id);
  }

  Collection<Worker> all() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Takes in the list of workers. */
  void updateList(List<WorkerInfo> list, long now, List<DispatchAction> out) {
    recordListRead(now);
    Set<String> ids = new HashSet<>();
    List<String> joined = new ArrayList<>();
    for (WorkerInfo info : list) {
      ids.add(info.id());
      Worker worker = workers.get(info.id());
      if (worker == null) {
        add(info, now);
        joined.add(info.id());
      } else {
        update(worker, info, now, out);
      }
    }
    List<String> unlisted = new ArrayList<>();
    List<String> forgotten = new ArrayList<>();
    for (Worker worker : List.copyOf(workers.values())) {
      boolean isListed = ids.contains(worker.id()) || worker.listed && now < relistingEndsAt;
      if (worker.listed && !isListed) {
        unlisted.add(worker.id());
      }
      worker.listed = isListed;
      if (!isListed && !mustStayKnown(worker, now)) {
        workers.remove(worker.id());
        forgotten.add(worker.id());
      }
    }
    logChange(joined, unlisted, forgotten, out);
    roster.flush(workers.values(), out);
  }

  private void recordListRead(long now) {
    if (!listRead || now - listReadAt > MAX_LIST_AGE_MICROS) {
      relistingEndsAt = now + RELISTING_MICROS;
    }
    listRead = true;
    listReadAt = now;
  }

  private Worker add(WorkerInfo info, long now) {
    Worker worker = new Worker(info);
    worker.inRoster = roster.contains(info.id());
    workers.put(info.id(), worker);
    updateLimits(worker, now);
    return worker;
  }

  /** Takes in what keeps a worker from work, or from all the work that it has room for. */
  private void updateLimits(Worker worker, long now) {
    worker.setDrained(drains.covers(worker.info()), now);
    worker.warmUp.update(worker.info().bornMillis(), worker.info().warmUpMillis(), now);
  }

  /** Takes in which failure domains are drained. */
  void setDrainedDomains(Set<String> domains, long now) {
    drains.set(domains);
    workers.values().forEach(worker -> updateLimits(worker, now));
  }

  DomainDrains drains() {
    return drains;
  }

  /** Logs, once for each drain, that no task is at work in a drained failure domain. */
  void logIdleDomains(List<DispatchAction> out) {
    if (isComplete()) {
      drains.logIdle(workers.values(), out);
    }
  }

  private boolean mustStayKnown(Worker worker, long now) {
    return now <= earlierRunsOverAt || worker.mustBeRetained(now);
  }

  /** Takes in the roster that earlier leaders stored. */
  void loadRoster(List<WorkerInfo> stored, long now, List<DispatchAction> out) {
    roster.load(stored);
    for (WorkerInfo info : stored) {
      Worker worker = workers.get(info.id());
      if (worker == null) {
        add(info, now).listed = !listRead || now < relistingEndsAt;
      } else {
        worker.inRoster = true;
      }
    }
    roster.flush(workers.values(), out);
  }

  /** Takes in that a change of the roster is stored. */
  void confirmRosterChange(long number, List<DispatchAction> out) {
    roster.confirmChange(number);
    workers.values().forEach(worker -> worker.inRoster = roster.contains(worker.id()));
    roster.flush(workers.values(), out);
  }

  private void logChange(
      List<String> joined,
      List<String> unlisted,
      List<String> forgotten,
      List<DispatchAction> out) {
    if (joined.isEmpty() && unlisted.isEmpty() && forgotten.isEmpty()) {
      return;
    }
    out.add(
        new Log(
            LogEvent.WORKERS_CHANGED,
            "known="
                + workers.size()
                + " joined="
                + describe(joined)
                + " unlisted="
                + describe(unlisted)
                + " forgotten="
                + describe(forgotten)));
  }

  private static String describe(List<String> ids) {
    return ids.size() + " " + ids.subList(0, Math.min(MAX_LOGGED_IDS, ids.size()));
  }

  private void update(Worker worker, WorkerInfo info, long now, List<DispatchAction> out) {
    if (info.draining() && !worker.info().draining()) {
      out.add(new Log(LogEvent.WORKER_LEAVING, "worker=" + info.id()));
    }
    if (!info.address().equals(worker.info().address())) {
      worker.synced = false;
    }
    worker.setInfo(info);
    updateLimits(worker, now);
  }

  /** Tells whether no worker, listed or lapsed, could run some step of a job if it were empty. */
  boolean canNeverRun(JobDescription job, RequestClass requestClass) {
    return cannotRunOn(worker -> true, job, requestClass);
  }

  /** Tells whether only workers of drained failure domains could run some step of a job. */
  boolean requiresDrainedDomain(JobDescription job, RequestClass requestClass) {
    return !drains.isEmpty() && cannotRunOn(worker -> !worker.isDrained(), job, requestClass);
  }

  private boolean cannotRunOn(
      Predicate<Worker> which, JobDescription job, RequestClass requestClass) {
    if (!isComplete()) {
      return false;
    }
    for (StepSpec step : job.steps()) {
      boolean anyCan =
          workers.values().stream()
              .anyMatch(w -> which.test(w) && WorkerSelector.canEverRun(requestClass, step, w));
      if (!anyCan) {
        return true;
      }
    }
    return false;
  }

  private boolean isComplete() {
    return listRead && roster.isLoaded();
  }

  /** Tells whether no run of an earlier leader can be at work out of sight. */
  boolean isSettled(long now) {
    return now > earlierRunsOverAt || haveAllReported();
  }

  private boolean haveAllReported() {
    return isComplete() && workers.values().stream().allMatch(worker -> worker.synced);
  }

  /** Logs, once, that no run of an earlier leader can be at work out of sight. */
  void logSettled(long now, List<DispatchAction> out) {
    if (settledLogged || !isSettled(now)) {
      return;
    }
    settledLogged = true;
    long synced = workers.values().stream().filter(worker -> worker.synced).count();
    out.add(
        new Log(
            LogEvent.EARLIER_RUNS_SETTLED,
            "by="
                + (haveAllReported() ? "reports" : "time")
                + " afterMicros="
                + (now - termStart)
                + " known="
                + workers.size()
                + " reported="
                + synced));
  }
}
