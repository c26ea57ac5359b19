package org.marjoramhoist.platform;

import java.util.Optional;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.TaskRef;

/**
 * Formats and parses the platform's names of tasks: {@code ID.K.STEP.INDEX}, where K is the number
 * of the job's occurrence, and 0 for a job that runs once.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class TaskNames {

  private static final int PART_COUNT = 4;

  private TaskNames() {}

  static String format(TaskRef task) {
    return task.job().value() + ".0." + task.step() + "." + task.index();
  }

  /** Returns the task with a name; empty if the name is invalid or of a job with occurrences. */
  static Optional<TaskRef> parse(String name) {
    String[] parts = name.split("\\.", -1);
    if (parts.length != PART_COUNT || !parts[1].equals("0")) {
      return Optional.empty();
    }
    try {
      int step = Integer.parseInt(parts[2]);
      int index = Integer.parseInt(parts[3]);
      return Optional.of(new TaskRef(new JobId(parts[0]), step, index));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
