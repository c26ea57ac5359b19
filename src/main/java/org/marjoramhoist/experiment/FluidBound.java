package org.marjoramhoist.experiment;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.marjoramhoist.job.StepSpec;

/**
 * How many jobs could be in time if all workers were one divisible pool near all data, if true run
 * times were known, and if the job whose objective ends first were always served first.
 *
 * <p>No placement is in time with more while the pool is in time with all. Immutable and safe for
 * use by several threads.
 */
final class FluidBound {

  private static final double MILLI_CORES = 1_000;

  private final double cores;

  /**
   * Creates the bound of a fleet.
   *
   * @param cores the cores of all workers, each times its speed
   */
  FluidBound(double cores) {
    this.cores = cores;
  }

  private record Open(double endBy, double[] work) {}

  /** Returns the share of the jobs that the pool ends within their objective. */
  double shareInTime(Collection<DispatchFleet.Offered> jobs) {
    List<DispatchFleet.Offered> inOrder =
        jobs.stream().sorted(Comparator.comparingLong(DispatchFleet.Offered::arrivedAt)).toList();
    PriorityQueue<Open> open = new PriorityQueue<>(Comparator.comparingDouble(Open::endBy));
    int inTime = 0;
    double now = 0;
    for (DispatchFleet.Offered job : inOrder) {
      inTime += serve(open, now, job.arrivedAt());
      now = job.arrivedAt();
      open.add(new Open(now + job.objectiveMicros(), new double[] {work(job)}));
    }
    inTime += serve(open, now, Double.MAX_VALUE);
    return (double) inTime / inOrder.size();
  }

  /** Serves open jobs from one time to another; returns how many of them end in time. */
  private int serve(PriorityQueue<Open> open, double from, double until) {
    int inTime = 0;
    double now = from;
    while (!open.isEmpty()) {
      Open first = open.peek();
      double end = now + first.work()[0] / cores;
      if (end > until) {
        first.work()[0] -= (until - now) * cores;
        return inTime;
      }
      open.poll();
      now = end;
      inTime += end <= first.endBy() ? 1 : 0;
    }
    return inTime;
  }

  private static double work(DispatchFleet.Offered job) {
    double sum = 0;
    for (StepSpec step : job.job().steps()) {
      sum += step.count() * step.need().cpuMillis() / MILLI_CORES * job.taskMicros();
    }
    return sum;
  }
}
