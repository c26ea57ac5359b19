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

  private static final double CLASS_LEARNING_RATE = 0.03;
  private static final double KIND_LEARNING_RATE = 0.03;
  private static final double WORKER_LEARNING_RATE = 0.12;
  private static final double MAX_ERROR = 1.5;
  private static final long MIN_ESTIMATE_MILLIS = 1;

  /** One of the terms, and what it multiplies run times by. Confined to one thread. */
  static final class Term {
    private double logarithm;
    private double factor = 1;

    private void add(double step) {
      logarithm += step;
      factor = Math.exp(logarithm);
    }
  }

  private final Map<String, EstimateCorrection> corrections = new HashMap<>();
  private final boolean correctsEstimates;

  /** Creates a model that takes estimates as they are. */
  DurationModel() {
    this(false);
  }

  /**
   * Creates a model.
   *
   * @param weighsEstimates whether it learns how far estimates come true
   */
  DurationModel(boolean weighsEstimates) {
    this.correctsEstimates = weighsEstimates;
  }

  private final Map<String, Term> classes = new HashMap<>();
  private final Map<String, Term> kinds = new HashMap<>();

  /** Returns the expected run time in microseconds, without regard to where the data lies. */
  double predictMicros(String requestClass, Worker worker, long estimateMillis) {
    return predictMicros(requestClass, estimateMillis) * workerFactor(worker);
  }

  /** Returns the expected run time in microseconds on an average worker. */
  double predictMicros(String requestClass, long estimateMillis) {
    double base = 1_000.0 * Math.max(MIN_ESTIMATE_MILLIS, estimateMillis);
    return base * factor(classes, requestClass);
  }

  /**
   * Returns the expected run time in microseconds on an average worker, where an estimate far from
   * the others of its class is trusted only as far as such estimates came true, if that is learned.
   */
  double predictCalibratedMicros(String requestClass, long estimateMillis) {
    EstimateCorrection trust = corrections.get(requestClass);
    double factor =
        trust == null ? 1 : trust.correctionFactor(Math.max(MIN_ESTIMATE_MILLIS, estimateMillis));
    return predictMicros(requestClass, estimateMillis) * factor;
  }

  /** Returns how many times as long as on an average worker a task runs on a worker. */
  double workerFactor(Worker worker) {
    return factor(kinds, worker.info().kind()) * worker.durationTerm.factor;
  }

  /** Returns how many times as long as on an average worker a task runs on the worker's kind. */
  double workerKindFactor(Worker worker) {
    return factor(kinds, worker.info().kind());
  }

  private static double factor(Map<String, Term> terms, String name) {
    Term term = terms.get(name);
    return term == null ? 1 : term.factor;
  }

  /**
   * Learns from a run that was done.
   *
   * @param micros its run time, less what the way to its data added
   */
  void learn(String requestClass, Worker worker, long estimateMillis, double micros) {
    double seen = Math.log(Math.max(1.0, micros));
    double error = seen - Math.log(predictMicros(requestClass, worker, estimateMillis));
    double step = Math.max(-MAX_ERROR, Math.min(MAX_ERROR, error));
    if (correctsEstimates) {
      corrections
          .computeIfAbsent(requestClass, name -> new EstimateCorrection())
          .learn(Math.max(MIN_ESTIMATE_MILLIS, estimateMillis), step);
    }
    classes.computeIfAbsent(requestClass, name -> new Term()).add(CLASS_LEARNING_RATE * step);
    kinds.computeIfAbsent(worker.info().kind(), name -> new Term()).add(KIND_LEARNING_RATE * step);
    worker.durationTerm.add(WORKER_LEARNING_RATE * step);
  }
}
