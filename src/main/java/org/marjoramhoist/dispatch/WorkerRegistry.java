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
import java.util.stream.Collectors;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.log.LogEvent;

/**
 * The workers that a leader knows, and whether runs of previous leaders may still be running
 * unnoticed.
 *
 * <p>The list of workers is never assumed to be complete, as the entry of a worker that does not
 * reach the store expires. The roster therefore names all workers that may have been assigned work.
 * Invariant: a worker is assigned no work before it is in the stored roster, and stays there while
 * runs may be running on it or it has completions that are not stored. Confined to one thread.
 */
final class WorkerRegistry {

  /**
   * If the list is older than this, the store was unavailable when it should have been read again.
   */
  private static final long MAX_LIST_AGE_MICROS = 1_200_000;

  /** How long workers may take to be listed again once the store is available. */
  private static final long RELISTING_MICROS = 2_200_000;

  /**
   * How long after its start a leader may not know workers that are cut off, nor how large workers
   * were that have shrunk.
   */
  private static final long LEARNING_MICROS = 5_000_000;

  private static final int MAX_LOGGED_IDS = 8;

  private final long termStart;
  private final long earlierRunsExpireAt;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final FormerWorkers formerWorkers = new FormerWorkers();
  private final Roster roster = new Roster();
  private final DomainDrains drains = new DomainDrains();
  private Set<String> sharedDomains = Set.of();
  private boolean listRead;
  private boolean settledLogged;
  private long listReadAt;
  private long relistingEndsAt;

  /**
   * Creates an empty registry.
   *
   * @param termStart the start of the term
   * @param earlierRunsExpireAt when every run that a previous leader ordered has ended or expired,
   *     even on an unreachable worker
   */
  WorkerRegistry(long termStart, long earlierRunsExpireAt) {
    this.termStart = termStart;
    this.earlierRunsExpireAt = earlierRunsExpireAt;
  }

  /** Returns a worker; null if it is not known. */
  Worker find(String id) {
    return workers.get(id);
  }

  /** Returns whether a worker other than the given one can run a task now or soon. */
  boolean canRunElsewhere(Task task, String worker, long now) {
    return workers.values().stream()
        .filter(other -> !other.id().equals(worker) && !other.isEjected(now))
        .anyMatch(other -> other.isSchedulable() && WorkerSelector.canEverRun(task, other));
  }

  Collection<Worker> all() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns the workers on which the lease of any other leader is known to have lapsed. */
  Set<String> withoutForeignLease() {
    return workers.values().stream()
        .filter(worker -> worker.synced && worker.foreignLease.hasLapsed())
        .map(Worker::id)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Takes over from a predecessor on which workers no lease of another leader is left. */
  void inheritLapses(Set<String> ids) {
    workers.values().stream()
        .filter(worker -> ids.contains(worker.id()))
        .forEach(worker -> worker.foreignLease.inheritLapse());
  }

  /** Updates the workers from the list in the store. */
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
      if (!isListed && !mustBeRetained(worker, now)) {
        workers.remove(worker.id());
        formerWorkers.add(worker, now);
        forgotten.add(worker.id());
      }
    }
    logChange(joined, unlisted, forgotten, out);
    roster.requestNextChange(workers.values(), out);
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
    formerWorkers.remove(info.id());
    updateLimits(worker, now);
    return worker;
  }

  /** Updates the drain state and the warm-up limit of a worker. */
  private void updateLimits(Worker worker, long now) {
    worker.setDrained(drains.covers(worker.info()), now);
    updateShared(worker, now);
    worker.warmUp.update(worker.info().bornMillis(), worker.info().warmUpMillis(), now);
  }

  /** Sets the failure domains that are drained. */
  void setDrainedDomains(Set<String> domains, long now) {
    drains.set(domains);
    workers.values().forEach(worker -> updateLimits(worker, now));
  }

  /** Sets the failure domains whose workers another leader may be using. */
  void setSharedDomains(Set<String> domains, long now) {
    sharedDomains = domains;
    workers.values().forEach(worker -> updateShared(worker, now));
  }

  private void updateShared(Worker worker, long now) {
    worker.setShared(sharedDomains.contains(worker.info().failureDomain()), now);
  }

  /** Returns whether another leader may be using any of the workers. */
  boolean isAnyShared() {
    return workers.values().stream().anyMatch(Worker::isShared);
  }

  DomainDrains drains() {
    return drains;
  }

  /** Logs, once for each drain, that no task is running in a drained failure domain. */
  void logIdleDomains(List<DispatchAction> out) {
    if (hasListAndRoster()) {
      drains.logIdle(workers.values(), out);
    }
  }

  private boolean mustBeRetained(Worker worker, long now) {
    return now <= earlierRunsExpireAt || worker.mustBeRetained(now);
  }

  /** Adds the workers of the roster that previous leaders stored. */
  void loadRoster(List<WorkerInfo> stored, long now, List<DispatchAction> out) {
    roster.load(stored);
    for (WorkerInfo info : stored) {
      Worker worker = workers.get(info.id());
      if (worker == null) {
        add(info, now).listed = !listRead || now < relistingEndsAt;
      } else {
        worker.inRoster = true;
        worker.recordEarlierCapacity(info);
      }
    }
    roster.requestNextChange(workers.values(), out);
  }

  /** Handles the confirmation that a change of the roster is stored. */
  void confirmRosterChange(long number, List<DispatchAction> out) {
    roster.confirmChange(number);
    workers.values().forEach(worker -> worker.inRoster = roster.contains(worker.id()));
    roster.requestNextChange(workers.values(), out);
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

  /**
   * Tells whether some step of a job could run on no known worker, listed, not listed or forgotten
   * lately, even if that were idle.
   */
  boolean fitsNoKnownWorker(JobDescription job, RequestClass requestClass, long now) {
    return anyStep(
        job,
        step -> {
          Predicate<Worker> canRun =
              worker -> WorkerSelector.canEverRun(requestClass, step, worker);
          return workers.values().stream().noneMatch(canRun)
              && !formerWorkers.anyMatch(canRun, now);
        });
  }

  /**
   * Tells whether the known workers are all that there are, and their largest capacities known.
   * That is uncertain early in a term, while the list can't be read or may lack workers that could
   * not reach the store, and while no worker is listed.
   */
  boolean areAllKnown(long now) {
    return now >= relistingEndsAt
        && now - listReadAt <= MAX_LIST_AGE_MICROS
        && now - termStart > LEARNING_MICROS
        && workers.values().stream().anyMatch(worker -> worker.listed);
  }

  /** Tells whether some step of a job could run only on workers of drained failure domains. */
  boolean requiresDrainedDomain(JobDescription job, RequestClass requestClass) {
    return !drains.isEmpty()
        && anyStep(
            job,
            step ->
                workers.values().stream()
                    .filter(worker -> !worker.isDrained())
                    .noneMatch(worker -> WorkerSelector.canEverRun(requestClass, step, worker)));
  }

  private boolean anyStep(JobDescription job, Predicate<StepSpec> condition) {
    return hasListAndRoster() && job.steps().stream().anyMatch(condition);
  }

  /**
   * Tells whether a worker is neither listed nor known to run anything, though the list is read.
   */
  boolean isGone(String id) {
    return hasListAndRoster() && !workers.containsKey(id);
  }

  /**
   * Tells whether workers of its rack or its failure domain were lost with it, so that the cause is
   * not a task. That holds until it answers again, once busy workers nearby had time to answer.
   */
  boolean isLostWithOthers(Worker worker, long now) {
    if (worker.lostWithOthers) {
      return true;
    }
    boolean common =
        contacts(worker, rackOf(worker)).haveCommonCause()
            || contacts(worker, domainOf(worker)).haveCommonCause();
    worker.lostWithOthers = common && now - worker.failingSince() > GroupContacts.SAME_TIME_MICROS;
    return common;
  }

  /**
   * Returns the workers of a lost worker's rack and failure domain of which nothing was heard since
   * and which have not failed.
   */
  List<Worker> unheardNear(Worker lost) {
    Predicate<Worker> isNear = rackOf(lost).or(domainOf(lost));
    return workers.values().stream()
        .filter(isNear)
        .filter(each -> !each.isFailing() && each.lastHeardAt() <= lost.failingSince())
        .toList();
  }

  private static Predicate<Worker> rackOf(Worker worker) {
    return each -> each.info().rack().equals(worker.info().rack());
  }

  private static Predicate<Worker> domainOf(Worker worker) {
    return each -> each.info().failureDomain().equals(worker.info().failureDomain());
  }

  /** Describes a loss, and how the workers near the lost one have answered since, for the log. */
  String describeLoss(WorkerLoss loss) {
    Worker worker = workers.get(loss.worker());
    String detail =
        "worker="
            + loss.worker()
            + " run="
            + loss.run()
            + " evidence="
            + loss.evidence()
            + " exclusive="
            + loss.exclusive()
            + " latest="
            + loss.latest();
    if (worker == null) {
      return "(" + detail + " forgotten)";
    }
    WorkerInfo info = worker.info();
    return "("
        + detail
        + " domain="
        + info.failureDomain()
        + " "
        + contacts(worker, domainOf(worker))
        + " rack="
        + info.rack()
        + " "
        + contacts(worker, rackOf(worker))
        + ")";
  }

  private GroupContacts contacts(Worker worker, Predicate<Worker> isInGroup) {
    return GroupContacts.since(
        worker.failingSince(), workers.values().stream().filter(isInGroup).toList());
  }

  /** Describes how complete the known workers are, for the log. */
  String describeKnown(long now) {
    long listed = workers.values().stream().filter(worker -> worker.listed).count();
    long reported = workers.values().stream().filter(worker -> worker.synced).count();
    return "known="
        + workers.size()
        + " listed="
        + listed
        + " reported="
        + reported
        + " relisting="
        + (now < relistingEndsAt)
        + " sinceTermMicros="
        + (now - termStart);
  }

  private boolean hasListAndRoster() {
    return listRead && roster.isLoaded();
  }

  /** Tells whether no run of a previous leader can be running unnoticed. */
  boolean isSettled(long now) {
    return now > earlierRunsExpireAt || haveAllReported();
  }

  private boolean haveAllReported() {
    return hasListAndRoster() && workers.values().stream().allMatch(worker -> worker.synced);
  }

  /** Logs, once, that no run of a previous leader can be running unnoticed. */
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
