package org.marjoramhoist.platform;

import java.util.Optional;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.TaskRef;

/**
 * The names of tasks on the platform: {@code ID.K.STEP.INDEX}, where K counts the occurrences of a
 * job and is 0 for one that runs once.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class TaskNames {

  private static final int PARTS = 4;

  private TaskNames() {}

  static String nameOf(TaskRef task) {
    return task.job().value() + ".0." + task.step() + "." + task.index();
  }

  /** Returns the task with a name; empty if no job of this program can have such a task. */
  static Optional<TaskRef> parse(String name) {
    String[] parts = name.split("\\.", -1);
    if (parts.length != PARTS || !parts[1].equals("0")) {
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
