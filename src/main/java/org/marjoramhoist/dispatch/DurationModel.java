package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how run times relate to the callers' estimates.
 *
 * <p>The logarithm of run time over estimate is taken as the sum of one term for the class of
 * request, one for the kind of worker and one for the worker. Confined to one thread.
 */
final class DurationModel {

  private static final double CLASS_RATE = 0.03;
  private static final double KIND_RATE = 0.03;
  private static final double WORKER_RATE = 0.12;
  private static final double LARGEST_STEP = 1.5;
  private static final long LEAST_ESTIMATE_MILLIS = 1;

  private final Map<String, Double> classes = new HashMap<>();
  private final Map<String, Double> kinds = new HashMap<>();
  private final Map<String, Double> workers = new HashMap<>();

  /**
   * Returns the expected logarithm of run time over estimate.
   *
   * @param requestClass the class of request
   * @param kind the kind of worker
   * @param worker the worker's id
   */
  private double expected(String requestClass, String kind, String worker) {
    return classes.getOrDefault(requestClass, 0.0)
        + kinds.getOrDefault(kind, 0.0)
        + workers.getOrDefault(worker, 0.0);
  }

  /** Returns the expected run time in microseconds, without regard to where the data lies. */
  double predictMicros(String requestClass, Worker worker, long estimateMillis) {
    double base = 1_000.0 * Math.max(LEAST_ESTIMATE_MILLIS, estimateMillis);
    return base * Math.exp(expected(requestClass, worker.info().kind(), worker.id()));
  }

  /** Returns the expected run time in microseconds on an average worker. */
  double predictMicros(String requestClass, long estimateMillis) {
    double base = 1_000.0 * Math.max(LEAST_ESTIMATE_MILLIS, estimateMillis);
    return base * Math.exp(classes.getOrDefault(requestClass, 0.0));
  }

  /**
   * Learns from a run that was done.
   *
   * @param micros its run time, less what the way to its data added
   */
  void learn(String requestClass, Worker worker, long estimateMillis, double micros) {
    double base = 1_000.0 * Math.max(LEAST_ESTIMATE_MILLIS, estimateMillis);
    double seen = Math.log(Math.max(1.0, micros) / base);
    double error = seen - expected(requestClass, worker.info().kind(), worker.id());
    double step = Math.max(-LARGEST_STEP, Math.min(LARGEST_STEP, error));
    classes.merge(requestClass, CLASS_RATE * step, Double::sum);
    kinds.merge(worker.info().kind(), KIND_RATE * step, Double::sum);
    workers.merge(worker.id(), WORKER_RATE * step, Double::sum);
  }

  /** Forgets a worker that is gone. */
  void forget(String worker) {
    workers.remove(worker);
  }
}
