package org.marjoramhoist.dispatch;

import java.util.Set;
import org.marjoramhoist.job.Resources;

/**
 * What a worker says of itself in the list of workers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the worker's id
 * @param upstream the upstream it belongs to
 * @param address {@code host:port} of its interface
 * @param failureDomain its failure domain
 * @param capacity what it has for tasks
 * @param kind its kind; workers of one kind run at about one speed
 * @param rack the rack it stands in
 * @param labels its kind, its rack and what else it is labelled with
 * @param draining whether it is leaving and must get no new work
 * @param bornMillis its start, in milliseconds since the epoch; tells its lives apart
 * @param warmUpMillis how much longer it runs slowly, as it said last. It passes by itself, so
 *     infos that differ in it alone are equal: a worker that warms up is not stored or sent anew
 *     each time that it says how long that still takes.
 */
public record WorkerInfo(
    String id,
    String upstream,
    String address,
    String failureDomain,
    Resources capacity,
    String kind,
    String rack,
    Set<String> labels,
    boolean draining,
    long bornMillis,
    long warmUpMillis) {

  /** Creates the info with a copy of the labels. */
  public WorkerInfo {
    labels = Set.copyOf(labels);
  }

  /** Creates the info of a worker that does not warm up. */
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
        kind,
        rack,
        labels,
        draining,
        bornMillis,
        0);
  }

  /** Returns the same info of a worker that does not warm up. */
  public WorkerInfo withoutWarmUp() {
    return new WorkerInfo(
        id, upstream, address, failureDomain, capacity, kind, rack, labels, draining, bornMillis);
  }

  // Written out: linking the generated methods takes milliseconds of a process's start.

  @Override
  public boolean equals(Object other) {
    return other instanceof WorkerInfo that
        && id.equals(that.id)
        && upstream.equals(that.upstream)
        && address.equals(that.address)
        && failureDomain.equals(that.failureDomain)
        && capacity.equals(that.capacity)
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
