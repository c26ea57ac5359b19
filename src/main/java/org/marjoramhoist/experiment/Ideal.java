package org.marjoramhoist.experiment;

import java.util.PriorityQueue;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.TaskSpec;

/**
 * The response time of a job on an idle fleet whose run times are known: longest task first, each
 * on the slot that ends it earliest.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Ideal {

  private record Slot(double free, double slowness) {}

  private Ideal() {}

  /** Returns the ideal response, in microseconds. */
  static double of(JobSpec job, FleetPlan plan) {
    double[] sizes =
        job.tasks().stream()
            .map(TaskSpec::payload)
            .mapToDouble(Double::parseDouble)
            .sorted()
            .toArray();
    PriorityQueue<Slot> slots =
        new PriorityQueue<>(
            (a, b) -> {
              int byFree = Double.compare(a.free, b.free);
              return byFree != 0 ? byFree : Double.compare(a.slowness, b.slowness);
            });
    for (FleetPlan.WorkerPlan worker : plan.workers()) {
      for (int i = 0; i < worker.slots(); i++) {
        slots.add(new Slot(0, worker.slowness()));
      }
    }
    double end = 0;
    for (int i = sizes.length - 1; i >= 0; i--) {
      Slot slot = slots.poll();
      double done = slot.free + sizes[i] * slot.slowness;
      slots.add(new Slot(done, slot.slowness));
      end = Math.max(end, done);
    }
    return end + 2 * plan.callerMicros() + 2 * plan.localMicros();
  }
}
