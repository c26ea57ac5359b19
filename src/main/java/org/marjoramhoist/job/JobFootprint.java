package org.marjoramhoist.job;

/**
 * What a leader holds of an open job in memory, as an upper estimate from its description alone, so
 * that every leader comes to the same sum.
 *
 * <p>The figures behind it are in docs/CAPACITY.md, and {@code JobFootprintTest} measures them.
 * Stateless and safe for use by several threads.
 */
public final class JobFootprint {

  /** What is held of a job that has ended, until its caller no longer asks for it, in bytes. */
  public static final int ENDED_JOB_BYTES = 256;

  private static final long JOB_BYTES = 1_200;
  private static final long STEP_BYTES = 300;
  private static final long TASK_BYTES = 260;
  private static final long NUMBER_BYTES = 20;
  private static final int MAX_ONE_BYTE_CHAR = 0xff;

  private JobFootprint() {}

  /** Returns the bytes that an open job takes. */
  public static long bytesOf(JobDescription job) {
    long bytes = JOB_BYTES + bytesOf(job.payload());
    for (StepSpec step : job.steps()) {
      bytes +=
          STEP_BYTES
              + step.count() * TASK_BYTES
              + step.after().size() * NUMBER_BYTES
              + bytesOf(step.requiredLabel())
              + bytesOf(step.preferredRack());
    }
    return bytes;
  }

  /** Returns the bytes of a text's characters: one each, or two if any of them needs two. */
  private static long bytesOf(String text) {
    boolean isNarrow = text.chars().allMatch(each -> each <= MAX_ONE_BYTE_CHAR);
    return isNarrow ? text.length() : 2L * text.length();
  }
}
