package org.marjoramhoist.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;

/**
 * Reads what callers send on the platform and writes what they are answered.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class JobBodies {

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final HttpString DEADLINE = new HttpString("X-Marjoramhoist-Deadline-Ms");
  private static final int MAX_STEPS = 1_000;
  private static final int MAX_TASKS = 100_000;

  private JobBodies() {}

  /**
   * Returns how long a caller waits for its answer, in milliseconds.
   *
   * @param fallback the answer if the caller says nothing readable
   */
  public static long callerTimeoutMillis(HeaderMap headers, long fallback) {
    String text = headers.getFirst(DEADLINE);
    if (text == null) {
      return fallback;
    }
    try {
      return Math.max(0, (long) Double.parseDouble(text));
    } catch (NumberFormatException e) {
      return fallback;
    }
  }

  /**
   * Reads a job.
   *
   * @throws IOException if the body is no job; the message says why
   */
  public static JobDescription parseJob(JobId id, byte[] body) throws IOException {
    try (JsonParser in = FACTORY.createParser(body)) {
      expect(in.nextToken(), JsonToken.START_OBJECT, "the body");
      String payload = "";
      List<StepSpec> steps = List.of();
      Set<JobFeature> features = EnumSet.of(JobFeature.DURABLE);
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        in.nextToken();
        switch (field) {
          case "spec" -> payload = text(in, field);
          case "steps" -> steps = readSteps(in, features);
          // The caller waits for the end and asks for nothing later.
          case "bestEffort" -> {
            if (in.getBooleanValue()) {
              features.remove(JobFeature.DURABLE);
            }
          }
          // The steps run this many times, each due at a time.
          case "repeatCount" -> {
            if (in.getLongValue() > 0) {
              features.add(JobFeature.OCCURRENCES);
            }
          }
          default -> in.skipChildren();
        }
      }
      checkSteps(steps);
      return new JobDescription(id, payload, steps, features);
    }
  }

  private static void checkSteps(List<StepSpec> steps) throws IOException {
    if (steps.isEmpty()) {
      throw new IOException("a job needs at least one step");
    }
    long tasks = 0;
    for (int i = 0; i < steps.size(); i++) {
      StepSpec step = steps.get(i);
      tasks += step.count();
      int number = i;
      if (step.count() < 1 || step.after().stream().anyMatch(a -> a < 0 || a >= number)) {
        throw new IOException("step " + i + " needs tasks, and may only follow earlier steps");
      }
    }
    if (tasks > MAX_TASKS) {
      throw new IOException("a job may have " + MAX_TASKS + " tasks, but has " + tasks);
    }
  }

  private static List<StepSpec> readSteps(JsonParser in, Set<JobFeature> features)
      throws IOException {
    expect(in.currentToken(), JsonToken.START_ARRAY, "steps");
    List<StepSpec> steps = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_OBJECT) {
      if (steps.size() == MAX_STEPS) {
        throw new IOException("a job may have " + MAX_STEPS + " steps");
      }
      steps.add(readStep(in, features));
    }
    expect(in.currentToken(), JsonToken.END_ARRAY, "steps");
    return steps;
  }

  private static StepSpec readStep(JsonParser in, Set<JobFeature> features) throws IOException {
    int count = 0;
    long cpu = 0;
    long memory = 0;
    long accelerators = 0;
    long estimate = 0;
    List<Integer> after = List.of();
    String label = "";
    String rack = "";
    int perWorker = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "count" -> count = in.getIntValue();
        // Thousandths of a core.
        case "cpu" -> cpu = in.getLongValue();
        case "memMb" -> memory = in.getLongValue();
        case "gpu" -> accelerators = in.getLongValue();
        case "estimateMs" -> estimate = (long) in.getDoubleValue();
        case "after" -> after = readNumbers(in);
        case "requiredLabel" -> label = text(in, field);
        // A hint: the tasks run elsewhere too, but slower.
        case "preferredRack" -> rack = text(in, field);
        // Counts the tasks of this step on one worker, not on one machine of the system.
        case "maxPerServer" -> perWorker = in.getIntValue();
        case "gang" -> addIf(in.getBooleanValue(), JobFeature.GANG, features);
        case "longRunning" -> addIf(in.getBooleanValue(), JobFeature.LONG_RUNNING, features);
        case "fills" -> addIf(in.getBooleanValue(), JobFeature.BACKGROUND, features);
        default -> in.skipChildren();
      }
    }
    Resources need = new Resources(cpu, memory, accelerators);
    return new StepSpec(count, need, estimate, after, label, rack, perWorker);
  }

  private static void addIf(boolean wanted, JobFeature feature, Set<JobFeature> features) {
    if (wanted) {
      features.add(feature);
    }
  }

  private static List<Integer> readNumbers(JsonParser in) throws IOException {
    expect(in.currentToken(), JsonToken.START_ARRAY, "after");
    List<Integer> numbers = new ArrayList<>();
    while (in.nextToken() != JsonToken.END_ARRAY) {
      numbers.add(in.getIntValue());
    }
    return numbers;
  }

  private static String text(JsonParser in, String field) throws IOException {
    expect(in.currentToken(), JsonToken.VALUE_STRING, field);
    return in.getText();
  }

  private static void expect(JsonToken token, JsonToken wanted, String what) throws IOException {
    if (token != wanted) {
      throw new IOException(what + " must be " + wanted + ", but is " + token);
    }
  }

  /** Returns the body that tells how a job ended. */
  public static String outcomeBody(JobOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> statusBody(JobStatus.SUCCEEDED);
      case FAILED -> statusBody(JobStatus.FAILED);
      case CANCELLED -> statusBody(JobStatus.CANCELLED);
      case REFUSED, ABANDONED -> "{}";
    };
  }

  /** Returns the body that tells how far a job is. */
  public static String statusBody(JobStatus status) {
    return "{\"state\":\"" + status.name().toLowerCase(Locale.ROOT) + "\"}";
  }

  /** Returns the body that tells how many jobs of a class wait. */
  public static String waitingJobsBody(int count) {
    return "{\"waiting\":" + count + "}";
  }
}
