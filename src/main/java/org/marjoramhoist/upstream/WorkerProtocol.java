package org.marjoramhoist.upstream;

/**
 * The bodies and states of the HTTP interface that workers offer.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class WorkerProtocol {

  /** The path under which attempts live. */
  public static final String ATTEMPTS = "/v1/attempts/";

  /** The task has run and yielded a result. */
  public static final String DONE = "done";

  /** The task was started and failed. */
  public static final String FAILED = "failed";

  /** The task still runs. */
  public static final String RUNNING = "running";

  /** The task was not started, and never will be under this attempt. */
  public static final String NOT_STARTED = "not-started";

  private WorkerProtocol() {}

  /**
   * What a worker is asked to run.
   *
   * @param submission the submission
   * @param task the task
   * @param classId the class of request
   * @param team the team
   * @param payload what the task works on
   * @param leaseDeadlineMillis when the worker must have stopped, in milliseconds since the epoch
   */
  public record StartBody(
      String submission,
      String task,
      String classId,
      String team,
      String payload,
      long leaseDeadlineMillis) {}

  /** A question about an attempt, with the renewed lease in milliseconds since the epoch. */
  public record SettleBody(long leaseDeadlineMillis) {}

  /**
   * A worker's answer.
   *
   * @param state one of the states of this class
   * @param value the result of a task that is done
   * @param detail why it failed or was not started
   * @param runMicros how long it ran, in microseconds
   * @param leaving whether the worker leaves
   * @param bootMillis when the worker's process started, in milliseconds since the epoch
   */
  public record Reply(
      String state,
      String value,
      String detail,
      long runMicros,
      boolean leaving,
      long bootMillis) {}
}
