package org.marjoramhoist.entry;

import java.util.List;
import org.marjoramhoist.dispatch.JobProgress;
import org.marjoramhoist.dispatch.NumberSet;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.json.Utf8;
import org.marjoramhoist.platform.JobBodies;
import org.marjoramhoist.platform.WorkerEntries;

/**
 * Checks that stored jobs can be worked with, as any writer may have stored them. A leader that
 * loads one that can't be would load none of the others.
 *
 * <p>Stateless and thread-safe.
 */
final class StoredJobCheck {

  private StoredJobCheck() {}

  /** Returns whether a record describes the job of an id. */
  static boolean isUsable(StoredJob record, String id) {
    JobDescription job = record.job();
    return job != null
        && job.id() != null
        && job.id().value().equals(id)
        && job.payload() != null
        && Utf8.canHold(job.payload())
        && isUsable(record.requestClass())
        && record.acceptedMillis() >= 0
        && record.acceptedMillis() <= WorkerEntries.MAX_TIME_MILLIS
        && isUsable(job.steps());
  }

  private static boolean isUsable(RequestClass requestClass) {
    return requestClass != null
        && requestClass.name() != null
        && requestClass.authority() != null
        && requestClass.pathPrefix() != null
        && requestClass.upstream() != null;
  }

  private static boolean isUsable(List<StepSpec> steps) {
    long tasks = 0;
    for (int i = 0; i < steps.size(); i++) {
      StepSpec step = steps.get(i);
      int number = i;
      boolean isUsable =
          step.count() > 0
              && step.need() != null
              && step.requiredLabel() != null
              && Utf8.canHold(step.requiredLabel())
              && step.preferredRack() != null
              && Utf8.canHold(step.preferredRack())
              && step.after().stream().allMatch(before -> before >= 0 && before < number);
      if (!isUsable) {
        return false;
      }
      tasks += step.count();
    }
    return tasks > 0 && tasks <= JobBodies.MAX_TASKS;
  }

  /** Returns whether progress is that of a job. */
  static boolean isUsable(JobProgress progress, JobDescription job) {
    return progress.status() != null
        && progress.done().stream().allMatch(each -> hasTasks(job, each.step(), each.tasks()))
        && progress.failed().stream()
            .allMatch(each -> hasTasks(job, each.step(), each.tasks()) && !each.runs().isEmpty())
        && progress.lost().stream().allMatch(run -> isUsable(run, job));
  }

  private static boolean isUsable(JobProgress.LostRuns run, JobDescription job) {
    return hasTasks(job, run.step(), run.tasks())
        && run.loss() != null
        && run.loss().worker() != null
        && run.loss().evidence() != null;
  }

  private static boolean hasTasks(JobDescription job, int step, NumberSet tasks) {
    return step >= 0
        && step < job.steps().size()
        && !tasks.isEmpty()
        && tasks.max() < job.steps().get(step).count();
  }
}
