package org.marjoramhoist.decision;

import java.util.HashMap;
import java.util.Map;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.WorkerId;

/**
 * Learns how long tasks run, by class and worker, in place of the sizes that jobs declare.
 *
 * <p>The expected run time of a task is the mean of its class, scaled by its declared size only as
 * far as declared sizes have proved right, times the factor of the worker. Confined to one thread.
 */
final class RunTimes {

  private static final double CLASS_GAIN = 0.02;
  private static final double FIRST_SAMPLES = 50;
  private static final double PRIOR_SAMPLES = 5;
  private static final double WORKER_GAIN = 0.05;
  private static final double ERROR_GAIN = 0.02;
  private static final double MIN_FACTOR = 0.05;
  private static final double MAX_FACTOR = 20;
  private static final double MAX_SCALE = 5;

  private static final class ClassTimes {
    private double mean;
    private double declaredMean;
    private double samples = PRIOR_SAMPLES;
    private double plainError = 1;
    private double declaredError = 2;

    ClassTimes(double prior) {
      mean = prior;
      declaredMean = prior;
    }
  }

  private final Map<ClassId, ClassTimes> classes = new HashMap<>();
  private final Map<WorkerId, Double> factors = new HashMap<>();

  /** Returns the expected run time on a worker of factor 1, in microseconds. */
  double expected(ClassId id, long declaredMicros, long fallbackMicros) {
    ClassTimes times = classes.get(id);
    if (times == null) {
      return fallbackMicros;
    }
    return times.declaredError < times.plainError ? byDeclared(times, declaredMicros) : times.mean;
  }

  private static double byDeclared(ClassTimes times, long declaredMicros) {
    if (declaredMicros <= 0 || times.declaredMean <= 0) {
      return times.mean;
    }
    double scale = declaredMicros / times.declaredMean;
    return times.mean * Math.min(MAX_SCALE, Math.max(1 / MAX_SCALE, scale));
  }

  /** Returns how much longer than the mean the worker takes; 1 until it is learned. */
  double factor(WorkerId worker) {
    return factors.getOrDefault(worker, 1.0);
  }

  /** Takes in how long a task ran. */
  void learn(
      ClassId id, WorkerId worker, long declaredMicros, long fallbackMicros, long runMicros) {
    double run = Math.max(1, runMicros);
    double factor = factor(worker);
    double normal = run / factor;
    ClassTimes times = classes.computeIfAbsent(id, key -> new ClassTimes(fallbackMicros));
    if (times.samples > PRIOR_SAMPLES) {
      learnErrors(times, declaredMicros, normal);
      double ratio = StrictMath.log(run / predictedBy(times, declaredMicros));
      double next = factor * StrictMath.exp(WORKER_GAIN * (ratio - StrictMath.log(factor)));
      factors.put(worker, Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, next)));
    }
    times.samples++;
    double gain = Math.max(CLASS_GAIN, 1 / Math.min(times.samples, FIRST_SAMPLES));
    times.mean += gain * (normal - times.mean);
    if (declaredMicros > 0) {
      times.declaredMean += gain * (declaredMicros - times.declaredMean);
    }
  }

  private static double predictedBy(ClassTimes times, long declaredMicros) {
    return Math.max(
        1, times.declaredError < times.plainError ? byDeclared(times, declaredMicros) : times.mean);
  }

  private static void learnErrors(ClassTimes times, long declaredMicros, double normal) {
    double plain = Math.abs(StrictMath.log(normal / Math.max(1, times.mean)));
    double declared =
        Math.abs(StrictMath.log(normal / Math.max(1, byDeclared(times, declaredMicros))));
    times.plainError += ERROR_GAIN * (plain - times.plainError);
    times.declaredError += ERROR_GAIN * (declared - times.declaredError);
  }
}
