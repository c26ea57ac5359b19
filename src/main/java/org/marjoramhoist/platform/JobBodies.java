package org.marjoramhoist.platform;

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
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.json.Utf8;

/**
 * Parses the job requests of callers and formats the response bodies.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class JobBodies {

  /** The header in which callers say how long they wait. */
  public static final String DEADLINE_HEADER_NAME = "X-Marjoramhoist-Deadline-Ms";

  private static final HttpString DEADLINE_HEADER = new HttpString(DEADLINE_HEADER_NAME);
  private static final int MAX_STEPS = 1_000;

  /** The longest payload, in bytes of UTF-8. */
  public static final int MAX_PAYLOAD_BYTES = 4_000;

  /** The most tasks of a job: its progress must fit into one value of the store. */
  public static final int MAX_TASKS = 10_000;

  private JobBodies() {}

  /**
   * Returns how long the caller waits for the response, in milliseconds.
   *
   * @param fallback the result if the header is missing or invalid
   */
  public static long callerTimeoutMillis(HeaderMap headers, long fallback) {
    String text = headers.getFirst(DEADLINE_HEADER);
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
   * Parses a job.
   *
   * @throws IOException if the body is not a valid job; the message gives the reason
   */
  public static JobDescription parseJob(JobId id, byte[] body) throws IOException {
    try (JsonParser in = JsonText.FACTORY.createParser(body)) {
      requireToken(in.nextToken(), JsonToken.START_OBJECT, "the body");
      String payload = "";
      List<StepSpec> steps = List.of();
      Set<JobFeature> features = EnumSet.of(JobFeature.DURABLE);
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        in.nextToken();
        switch (field) {
          case "spec" -> payload = parsePayload(in, field);
          case "steps" -> steps = parseSteps(in, features);
          // The caller waits for the outcome and does not query the status later.
          case "bestEffort" -> {
            if (in.getBooleanValue()) {
              features.remove(JobFeature.DURABLE);
            }
          }
          // The number of scheduled occurrences of the job.
          case "repeatCount" -> {
            if (in.getLongValue() > 0) {
              features.add(JobFeature.OCCURRENCES);
            }
          }
          default -> in.skipChildren();
        }
      }
      validateSteps(steps);
      return new JobDescription(id, payload, steps, features);
    }
  }

  private static void validateSteps(List<StepSpec> steps) throws IOException {
    if (steps.isEmpty()) {
      throw new IOException("a job needs at least one step");
    }
    long tasks = 0;
    for (int i = 0; i < steps.size(); i++) {
      StepSpec step = steps.get(i);
      tasks += step.count();
      int number = i;
      if (step.count() < 1 || step.after().stream().anyMatch(a -> a < 0 || a >= number)) {
        throw new IOException(
            "step " + i + " must have at least one task and depend on earlier steps only");
      }
      if (hasNegativeAmount(step)) {
        throw new IOException("step " + i + " must not have negative amounts");
      }
    }
    if (tasks > MAX_TASKS) {
      throw new IOException("a job may have at most " + MAX_TASKS + " tasks, but has " + tasks);
    }
  }

  private static boolean hasNegativeAmount(StepSpec step) {
    Resources need = step.need();
    return need.cpuMillis() < 0
        || need.memoryMib() < 0
        || need.accelerators() < 0
        || step.estimateMillis() < 0
        || step.maxPerWorker() < 0;
  }

  private static List<StepSpec> parseSteps(JsonParser in, Set<JobFeature> features)
      throws IOException {
    requireToken(in.currentToken(), JsonToken.START_ARRAY, "steps");
    List<StepSpec> steps = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_OBJECT) {
      if (steps.size() == MAX_STEPS) {
        throw new IOException("a job may have at most " + MAX_STEPS + " steps");
      }
      steps.add(parseStep(in, features));
    }
    requireToken(in.currentToken(), JsonToken.END_ARRAY, "steps");
    return steps;
  }

  private static StepSpec parseStep(JsonParser in, Set<JobFeature> features) throws IOException {
    int count = 0;
    long cpu = 0;
    long memory = 0;
    long accelerators = 0;
    long estimate = 0;
    List<Integer> after = List.of();
    String label = "";
    String rack = "";
    int maxPerWorker = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "count" -> count = in.getIntValue();
        // In thousandths of a core.
        case "cpu" -> cpu = in.getLongValue();
        case "memMb" -> memory = in.getLongValue();
        case "gpu" -> accelerators = in.getLongValue();
        case "estimateMs" -> estimate = (long) in.getDoubleValue();
        case "after" -> after = parseNumbers(in);
        case "requiredLabel" -> label = parseText(in, field);
        // Only a preference: the tasks also run on other racks, but slower.
        case "preferredRack" -> rack = parseText(in, field);
        // A limit for each worker, not for each machine of the system.
        case "maxPerServer" -> maxPerWorker = in.getIntValue();
        case "gang" -> addIf(in.getBooleanValue(), JobFeature.GANG, features);
        case "longRunning" -> addIf(in.getBooleanValue(), JobFeature.LONG_RUNNING, features);
        case "fills" -> addIf(in.getBooleanValue(), JobFeature.BACKGROUND, features);
        default -> in.skipChildren();
      }
    }
    Resources need = new Resources(cpu, memory, accelerators);
    return new StepSpec(count, need, estimate, after, label, rack, maxPerWorker);
  }

  private static void addIf(boolean requested, JobFeature feature, Set<JobFeature> features) {
    if (requested) {
      features.add(feature);
    }
  }

  private static List<Integer> parseNumbers(JsonParser in) throws IOException {
    requireToken(in.currentToken(), JsonToken.START_ARRAY, "after");
    List<Integer> numbers = new ArrayList<>();
    while (in.nextToken() != JsonToken.END_ARRAY) {
      numbers.add(in.getIntValue());
    }
    return numbers;
  }

  private static String parsePayload(JsonParser in, String field) throws IOException {
    String payload = parseText(in, field);
    int bytes = Utf8.lengthOf(payload);
    if (bytes > MAX_PAYLOAD_BYTES) {
      throw new IOException(
          field + " may have at most " + MAX_PAYLOAD_BYTES + " bytes, but has " + bytes);
    }
    return payload;
  }

  private static String parseText(JsonParser in, String field) throws IOException {
    requireToken(in.currentToken(), JsonToken.VALUE_STRING, field);
    String text = in.getText();
    if (!Utf8.canHold(text)) {
      throw new IOException(field + " " + Utf8.UNPAIRED_SURROGATE);
    }
    return text;
  }

  private static void requireToken(JsonToken token, JsonToken expected, String element)
      throws IOException {
    if (token != expected) {
      throw new IOException(element + " must be " + expected + ", but is " + token);
    }
  }

  /** Returns the response body for the outcome of a job. */
  public static String outcomeBody(JobOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> statusBody(JobStatus.SUCCEEDED);
      case FAILED -> statusBody(JobStatus.FAILED);
      case CANCELLED -> statusBody(JobStatus.CANCELLED);
      case REFUSED, ABANDONED -> "{}";
    };
  }

  /** Returns the response body for the status of a job. */
  public static String statusBody(JobStatus status) {
    return "{\"state\":\"" + status.name().toLowerCase(Locale.ROOT) + "\"}";
  }

  /** Returns the response body for the number of waiting jobs of a request class. */
  public static String waitingJobsBody(int count) {
    return "{\"waiting\":" + count + "}";
  }
}
