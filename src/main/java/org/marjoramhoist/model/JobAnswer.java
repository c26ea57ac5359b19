package org.marjoramhoist.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * The answer to a submission: complete with every task's result, or an error with none.
 *
 * <p>Invariant: either {@code error} is null and every task has a result, or {@code error} is set
 * and {@code results} is empty. Immutable and safe for use by several threads.
 *
 * @param id the submission
 * @param results a result for each task of the job, in the order of the job
 * @param error what went wrong; null if the job is complete
 * @param runState whether the job was started
 * @param detail a text for people; empty if there is none
 * @param retryAtMillis when to ask again, in milliseconds since the epoch; 0 if there is no point
 */
public record JobAnswer(
    SubmissionId id,
    List<TaskResult> results,
    ErrorKind error,
    RunState runState,
    String detail,
    long retryAtMillis) {

  /** Creates an answer; a failed one must not carry results. */
  public JobAnswer {
    results = List.copyOf(results);
    if (error != null && !results.isEmpty()) {
      throw new IllegalArgumentException("a failed job must not carry a part of its results");
    }
  }

  /** Returns the answer of a job whose every task has a result. */
  public static JobAnswer complete(SubmissionId id, List<TaskResult> results) {
    return new JobAnswer(id, results, null, RunState.RAN, "", 0);
  }

  /** Returns the answer of a job that failed, with the run state that the kind stands for. */
  public static JobAnswer failed(SubmissionId id, ErrorKind kind, String detail) {
    return new JobAnswer(id, List.of(), kind, kind.runState(), detail, 0);
  }

  /** Returns this answer with another run state. */
  public JobAnswer withRunState(RunState state) {
    return new JobAnswer(id, results, error, state, detail, retryAtMillis);
  }

  /** Returns this answer with the time at which to ask again, in milliseconds since the epoch. */
  public JobAnswer withRetryAt(long millis) {
    return new JobAnswer(id, results, error, runState, detail, millis);
  }

  /** Tells whether every task has a result. */
  @JsonIgnore
  public boolean isComplete() {
    return error == null;
  }
}
