package org.marjoramhoist.dispatch;

import java.util.Set;
import org.marjoramhoist.job.Resources;

/**
 * A worker's entry in the list of workers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the worker's id
 * @param upstream the upstream that it belongs to
 * @param address {@code host:port} of its interface
 * @param failureDomain its failure domain
 * @param capacity its resources for tasks
 * @param largestCapacity the most that it is known to have had of each resource since its start; it
 *     covers {@code capacity}
 * @param kind its hardware kind; workers of one kind run at about the same speed
 * @param rack its rack
 * @param labels its labels, including its kind and its rack
 * @param draining whether it is shutting down and must be assigned no new work
 * @param bornMillis when it started, in milliseconds since the epoch; identifies its incarnation
 * @param warmUpMillis the remaining warm-up time that it reported last
 * @param clockMillis its steady clock when it wrote the entry, in milliseconds; 0 if unknown.
 *     Entries that differ in this or the warm-up time alone are equal, so that a worker is not
 *     stored or sent again each time it writes its entry.
 */
public record WorkerInfo(
    String id,
    String upstream,
    String address,
    String failureDomain,
    Resources capacity,
    Resources largestCapacity,
    String kind,
    String rack,
    Set<String> labels,
    boolean draining,
    long bornMillis,
    long warmUpMillis,
    long clockMillis) {

  /** Creates an entry with a copy of the labels; a missing largest capacity is the present one. */
  public WorkerInfo {
    largestCapacity = largestCapacity == null ? capacity : largestCapacity.max(capacity);
    labels = Set.copyOf(labels);
  }

  /** Creates the entry of a worker that is not warming up and had no larger capacity. */
  public WorkerInfo(
      String id,
      String upstream,
      String address,
      String failureDomain,
      Resources capacity,
      String kind,
      String rack,
      Set<String> labels,
      boolean draining,
      long bornMillis) {
    this(
        id,
        upstream,
        address,
        failureDomain,
        capacity,
        capacity,
        kind,
        rack,
        labels,
        draining,
        bornMillis,
        0,
        0);
  }

  /** Returns an entry whose largest capacity covers an earlier one too. */
  WorkerInfo withEarlierCapacity(Resources earlier) {
    if (largestCapacity.covers(earlier)) {
      return this;
    }
    return copy(id, capacity, largestCapacity.max(earlier), bornMillis, warmUpMillis, clockMillis);
  }

  /** Returns the same entry with another capacity. */
  public WorkerInfo withCapacity(Resources newCapacity) {
    return copy(id, newCapacity, newCapacity, bornMillis, warmUpMillis, clockMillis);
  }

  /** Returns the same entry, written by an incarnation at a time on its steady clock. */
  public WorkerInfo writtenBy(long newBornMillis, long newClockMillis) {
    return copy(id, capacity, largestCapacity, newBornMillis, warmUpMillis, newClockMillis);
  }

  /** Returns the same entry with another id. */
  public WorkerInfo withId(String newId) {
    return copy(newId, capacity, largestCapacity, bornMillis, warmUpMillis, clockMillis);
  }

  /** Returns the same entry without a warm-up time and a clock. */
  public WorkerInfo withoutTimes() {
    return copy(id, capacity, largestCapacity, bornMillis, 0, 0);
  }

  private WorkerInfo copy(
      String newId,
      Resources newCapacity,
      Resources newLargestCapacity,
      long newBornMillis,
      long newWarmUpMillis,
      long newClockMillis) {
    return new WorkerInfo(
        newId,
        upstream,
        address,
        failureDomain,
        newCapacity,
        newLargestCapacity,
        kind,
        rack,
        labels,
        draining,
        newBornMillis,
        newWarmUpMillis,
        newClockMillis);
  }

  // Written by hand: linking the generated methods takes milliseconds of a process's start.

  @Override
  public boolean equals(Object other) {
    return other instanceof WorkerInfo that
        && id.equals(that.id)
        && upstream.equals(that.upstream)
        && address.equals(that.address)
        && failureDomain.equals(that.failureDomain)
        && capacity.equals(that.capacity)
        && largestCapacity.equals(that.largestCapacity)
        && kind.equals(that.kind)
        && rack.equals(that.rack)
        && labels.equals(that.labels)
        && draining == that.draining
        && bornMillis == that.bornMillis;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
