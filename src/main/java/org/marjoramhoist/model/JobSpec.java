package org.marjoramhoist.model;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A job: tasks of one class that are answered as a whole.
 *
 * <p>Invariant: at least one task, task identifiers are unique. Immutable and safe for use by
 * several threads.
 *
 * @param id the submission that asks for the job
 * @param team the team that the job is accounted to
 * @param caller who submitted it
 * @param classId the class of request
 * @param deadlineMillis when the answer is of no more use, in milliseconds since the epoch
 * @param tasks the tasks
 * @param digest a digest of the submitted body; equal for equal bodies
 */
public record JobSpec(
    SubmissionId id,
    TeamId team,
    String caller,
    ClassId classId,
    long deadlineMillis,
    List<TaskSpec> tasks,
    String digest) {

  /**
   * Creates a job.
   *
   * @throws IllegalArgumentException if there is no task or a task identifier stands twice
   */
  public JobSpec {
    requireNonNull(id, "id");
    requireNonNull(team, "team");
    requireNonNull(caller, "caller");
    requireNonNull(classId, "classId");
    requireNonNull(digest, "digest");
    tasks = List.copyOf(tasks);
    if (tasks.isEmpty()) {
      throw new IllegalArgumentException("a job needs at least one task");
    }
    Set<TaskId> seen = new HashSet<>();
    for (TaskSpec task : tasks) {
      if (!seen.add(task.id())) {
        throw new IllegalArgumentException("task id stands twice: " + task.id());
      }
    }
  }
}
