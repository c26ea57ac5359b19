package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskId;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.model.TeamId;

/**
 * Makes jobs of many sizes at random times.
 *
 * <p>Confined to one thread.
 */
final class Workload {

  /** Mean tasks of a job, as {@link #tasks} draws them. */
  static final double MEAN_TASKS = 0.5 + 0.25 * 5 + 0.2 * 20 + 0.05 * 100;

  private static final double MEDIAN_MILLIS = 150;
  private static final double SIGMA = 0.7;
  private static final double MIN_MILLIS = 50;
  private static final double MAX_MILLIS = 4_000;
  private static final int MEAN_SAMPLES = 20_000;

  private final SplittableRandom random;

  Workload(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the mean size of a task, in milliseconds. */
  static double meanMillis() {
    Workload sample = new Workload(1);
    double sum = 0;
    for (int i = 0; i < MEAN_SAMPLES; i++) {
      sum += sample.sizeMillis();
    }
    return sum / MEAN_SAMPLES;
  }

  SplittableRandom random() {
    return random;
  }

  /** Returns the time to the next arrival, in microseconds. */
  long gap(double jobsPerSecond) {
    double seconds = -StrictMath.log(1 - random.nextDouble()) / jobsPerSecond;
    return Math.max(1, (long) (seconds * Policy.MICROS_PER_SECOND));
  }

  private int tasks() {
    double draw = random.nextDouble();
    if (draw < 0.5) {
      return 1;
    }
    if (draw < 0.75) {
      return 5;
    }
    return draw < 0.95 ? 20 : 100;
  }

  /** Returns a normal variate, the same on every machine. */
  private double gaussian() {
    double radius = Math.sqrt(-2 * StrictMath.log(1 - random.nextDouble()));
    return radius * StrictMath.cos(2 * Math.PI * random.nextDouble());
  }

  private double sizeMillis() {
    double size = MEDIAN_MILLIS * StrictMath.exp(SIGMA * gaussian());
    return Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, size));
  }

  /**
   * Returns a job.
   *
   * @param declaredError how far off declared sizes are, as a factor; 1 for right
   */
  JobSpec job(
      String id, String team, String classId, long now, long deadlineMillis, double declaredError) {
    List<TaskSpec> list = new ArrayList<>();
    int count = tasks();
    for (int i = 0; i < count; i++) {
      double size = sizeMillis();
      double error = StrictMath.pow(declaredError, 2 * random.nextDouble() - 1);
      long micros = (long) (size * Policy.MICROS_PER_MILLI);
      long declared = Math.max(1, Math.round(size * error));
      list.add(new TaskSpec(new TaskId("t" + i), String.valueOf(micros), declared, true));
    }
    return new JobSpec(
        new SubmissionId(id),
        new TeamId(team),
        "bench",
        new ClassId(classId),
        now / Policy.MICROS_PER_MILLI + deadlineMillis,
        list,
        id);
  }
}
