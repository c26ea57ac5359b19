package org.marjoramhoist.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramhoist.decision.ConfigView;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.Problems;
import org.marjoramhoist.json.StrictObject;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskId;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.ClassSpec;

/**
 * Reads a job from the body of a request.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class JobParser {

  private static final long MAX_DECLARED_MILLIS = 3_600_000;
  private static final int MAX_CALLER_LENGTH = 128;

  private JobParser() {}

  /**
   * Reads a job.
   *
   * @param id the submission
   * @param body the body, JSON
   * @param maxTasks the most tasks of a job
   * @param config the configuration, for the class's default of idempotence
   * @throws InvalidDocumentException with every fault found
   */
  static JobSpec parse(SubmissionId id, String body, int maxTasks, ConfigView config)
      throws InvalidDocumentException {
    Problems problems = new Problems("body");
    JobSpec job = null;
    try (StrictObject root = StrictObject.parse(body, problems)) {
      TeamId team = root.value("team", TeamId::new);
      ClassId classId = root.value("class", ClassId::new);
      String caller = root.text("caller", "");
      if (caller.length() > MAX_CALLER_LENGTH) {
        root.fault("caller", "must be at most " + MAX_CALLER_LENGTH + " characters");
      }
      long deadline = root.number("deadlineMillis", 1, Long.MAX_VALUE / 1_000);
      List<TaskSpec> tasks = tasks(root, maxTasks, idempotentByDefault(classId, config));
      if (problems.isEmpty()) {
        job = new JobSpec(id, team, caller, classId, deadline, tasks, digest(body));
      }
    }
    problems.throwIfAny();
    return job;
  }

  private static boolean idempotentByDefault(ClassId classId, ConfigView config) {
    ClassSpec spec = classId == null ? null : config.classes().get(classId);
    return spec != null && spec.idempotent();
  }

  private static List<TaskSpec> tasks(StrictObject root, int maxTasks, boolean idempotent) {
    List<StrictObject> items = root.objects("tasks");
    if (items.isEmpty()) {
      root.fault("tasks", "must hold at least one task");
    }
    if (items.size() > maxTasks) {
      root.fault("tasks", "must hold at most " + maxTasks + " tasks, but holds " + items.size());
      return List.of();
    }
    List<TaskSpec> tasks = new ArrayList<>(items.size());
    Set<TaskId> seen = new HashSet<>();
    for (StrictObject item : items) {
      try (item) {
        TaskId id = item.value("id", TaskId::new);
        if (id != null && !seen.add(id)) {
          item.fault("id", "stands twice: " + id);
        }
        String payload = item.text("payload", "");
        long declared = item.number("declaredMillis", 0, MAX_DECLARED_MILLIS, 0);
        boolean repeatable = item.flag("idempotent", idempotent);
        if (id != null) {
          tasks.add(new TaskSpec(id, payload, declared, repeatable));
        }
      }
    }
    return tasks;
  }

  private static String digest(String body) {
    return Digests.sha256(body.getBytes(StandardCharsets.UTF_8));
  }
}
