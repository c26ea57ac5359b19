package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how run times relate to the callers' estimates.
 *
 * <p>The logarithm of run time over estimate is modelled as the sum of three terms: one for the
 * request class, one for the kind of worker and one for the worker. Confined to one thread.
 */
final class DurationModel {

  private static final double CLASS_LEARNING_RATE = 0.03;
  private static final double KIND_LEARNING_RATE = 0.03;
  private static final double WORKER_LEARNING_RATE = 0.12;
  private static final double MAX_ERROR = 1.5;
  private static final long MIN_ESTIMATE_MILLIS = 1;

  /** A term of the model and the factor of run times that it stands for. Confined to one thread. */
  static final class Term {
    private double logarithm;
    private double factor = 1;

    private void add(double change) {
      logarithm += change;
      factor = Math.exp(logarithm);
    }
  }

  private final Map<String, EstimateCorrection> corrections = new HashMap<>();
  private final boolean correctsEstimates;

  /** Creates a model that uses estimates without correction. */
  DurationModel() {
    this(false);
  }

  /**
   * Creates a model.
   *
   * @param correctsEstimates whether it learns how reliable estimates of different sizes are
   */
  DurationModel(boolean correctsEstimates) {
    this.correctsEstimates = correctsEstimates;
  }

  private final Map<String, Term> classes = new HashMap<>();
  private final Map<String, Term> kinds = new HashMap<>();

  /**
   * Returns the predicted run time on a worker in microseconds, regardless of the location of the
   * data.
   */
  double predictMicros(String requestClass, Worker worker, long estimateMillis) {
    return predictMicros(requestClass, estimateMillis) * workerFactor(worker);
  }

  /** Returns the predicted run time on an average worker in microseconds. */
  double predictMicros(String requestClass, long estimateMillis) {
    double base = 1_000.0 * Math.max(MIN_ESTIMATE_MILLIS, estimateMillis);
    return base * factor(classes, requestClass);
  }

  /**
   * Returns the predicted run time on an average worker in microseconds. If the model corrects
   * estimates, an estimate that differs much from others of its class is weighted by how accurate
   * such estimates have been.
   */
  double predictCalibratedMicros(String requestClass, long estimateMillis) {
    EstimateCorrection correction = corrections.get(requestClass);
    double factor =
        correction == null
            ? 1
            : correction.correctionFactor(Math.max(MIN_ESTIMATE_MILLIS, estimateMillis));
    return predictMicros(requestClass, estimateMillis) * factor;
  }

  /** Returns the ratio of run times on a worker to those on an average worker. */
  double workerFactor(Worker worker) {
    return factor(kinds, worker.info().kind()) * worker.durationTerm.factor;
  }

  /** Returns the ratio of run times on the worker's kind to those on an average worker. */
  double workerKindFactor(Worker worker) {
    return factor(kinds, worker.info().kind());
  }

  private static double factor(Map<String, Term> terms, String name) {
    Term term = terms.get(name);
    return term == null ? 1 : term.factor;
  }

  /**
   * Updates the model from a run that succeeded.
   *
   * @param micros its run time, without the time for access to remote data
   */
  void learn(String requestClass, Worker worker, long estimateMillis, double micros) {
    double observed = Math.log(Math.max(1.0, micros));
    double error = observed - Math.log(predictMicros(requestClass, worker, estimateMillis));
    double clamped = Math.max(-MAX_ERROR, Math.min(MAX_ERROR, error));
    if (correctsEstimates) {
      corrections
          .computeIfAbsent(requestClass, name -> new EstimateCorrection())
          .learn(Math.max(MIN_ESTIMATE_MILLIS, estimateMillis), clamped);
    }
    classes.computeIfAbsent(requestClass, name -> new Term()).add(CLASS_LEARNING_RATE * clamped);
    kinds
        .computeIfAbsent(worker.info().kind(), name -> new Term())
        .add(KIND_LEARNING_RATE * clamped);
    worker.durationTerm.add(WORKER_LEARNING_RATE * clamped);
  }
}
