package org.marjoramhoist.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;

/**
 * Offers jobs at random times that do not depend on the answers, and measures the answers.
 *
 * <p>Confined to one thread; answers are counted under the object's lock.
 */
public final class LoadRunner implements AutoCloseable {

  private static final int HTTP_OK = 200;
  private static final long MARGIN_MILLIS = 5_000;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(20);
  private static final long MICROS_PER_MILLI = 1_000;
  private static final int PERCENT = 100;

  private final LoadPlan plan;
  private final HttpCaller caller = new HttpCaller("load", 2);
  private final SplittableRandom random;
  private final AtomicInteger open = new AtomicInteger();
  private final Phaser phaser = new Phaser(1);
  private final Map<String, Long> errors = new TreeMap<>();
  private final Map<String, Histogram> responses = new TreeMap<>();
  private final Histogram slowdown = new Histogram(MAX_MICROS, HISTOGRAM_DIGITS);
  private long sent;
  private long complete;
  private long notSent;
  private long wrong;

  /** Creates a runner of a plan. */
  public LoadRunner(LoadPlan plan) {
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed());
  }

  /** Offers the load and waits for the answers. */
  public LoadResult run() throws InterruptedException {
    long start = System.nanoTime();
    long end = start + TimeUnit.MILLISECONDS.toNanos(plan.durationMillis());
    long next = start;
    long number = 0;
    while (next < end) {
      sleepUntil(next);
      if (open.get() >= plan.maxOpen()) {
        notSent++;
      } else {
        send(number);
      }
      number++;
      double gapSeconds = -Math.log(1 - random.nextDouble()) / plan.jobsPerSecond();
      next += (long) (gapSeconds * TimeUnit.SECONDS.toNanos(1));
    }
    awaitAnswers();
    double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
    synchronized (this) {
      return new LoadResult(
          sent,
          complete,
          Map.copyOf(errors),
          notSent,
          wrong,
          Map.copyOf(responses),
          slowdown,
          seconds);
    }
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }

  private void awaitAnswers() throws InterruptedException {
    try {
      int phase = phaser.arrive();
      phaser.awaitAdvanceInterruptibly(
          phase, plan.deadlineMillis() + MARGIN_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      countError("no answer");
    }
  }

  private void send(long number) {
    sent++;
    String classId = plan.classes().get((int) (number % plan.classes().size()));
    String server = plan.servers().get((int) (number % plan.servers().size()));
    String id = "load-" + Long.toString(plan.seed(), 36) + "-" + System.nanoTime() + "-" + number;
    ObjectNode job = JsonText.MAPPER.createObjectNode();
    job.put("team", plan.team());
    job.put("class", classId);
    job.put("caller", "load");
    job.put("deadlineMillis", System.currentTimeMillis() + plan.deadlineMillis());
    long longest = addTasks(job.putArray("tasks"));
    long startNanos = System.nanoTime();
    long waitMillis = plan.deadlineMillis() + MARGIN_MILLIS;
    HttpCall call =
        new HttpCall(
            server,
            "PUT",
            "/v1/jobs/" + id + "?wait=" + waitMillis,
            job.toString(),
            plan.token(),
            startNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis),
            false);
    open.incrementAndGet();
    phaser.register();
    caller
        .call(call)
        .whenComplete(
            (reply, error) -> {
              long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
              answered(classId, reply, error, micros, longest);
              open.decrementAndGet();
              phaser.arriveAndDeregister();
            });
  }

  private long addTasks(ArrayNode tasks) {
    long longest = 1;
    for (int i = 0; i < plan.tasksPerJob(); i++) {
      long size = random.nextLong(plan.minMillis(), plan.maxMillis() + 1);
      longest = Math.max(longest, size);
      double error = Math.pow(plan.declaredError(), 2 * random.nextDouble() - 1);
      ObjectNode task = tasks.addObject();
      task.put("id", "t" + i);
      task.put("payload", String.valueOf(size));
      task.put("declaredMillis", Math.max(1, Math.round(size * error)));
    }
    return longest;
  }

  private synchronized void answered(
      String classId, HttpReply reply, Throwable error, long micros, long longestMillis) {
    if (error != null) {
      countError("no reply");
      return;
    }
    try {
      JsonNode body = JsonText.MAPPER.readTree(reply.body());
      if (reply.status() != HTTP_OK) {
        countError(body.path("error").asText("status " + reply.status()));
        return;
      }
      complete++;
      wrong += isWhole(body) ? 0 : 1;
      responses
          .computeIfAbsent(classId, key -> new Histogram(MAX_MICROS, HISTOGRAM_DIGITS))
          .recordValue(Math.min(MAX_MICROS, micros));
      slowdown.recordValue(micros * PERCENT / (longestMillis * MICROS_PER_MILLI));
    } catch (JsonProcessingException e) {
      countError("not JSON");
    }
  }

  private boolean isWhole(JsonNode body) {
    Set<String> tasks = new HashSet<>();
    for (JsonNode result : body.path("results")) {
      String task = result.path("task").asText();
      if (!result.path("value").asText().equals("done:" + task) || !tasks.add(task)) {
        return false;
      }
    }
    return tasks.size() == plan.tasksPerJob();
  }

  private synchronized void countError(String kind) {
    errors.merge(kind, 1L, Long::sum);
  }

  @Override
  public void close() {
    caller.close();
  }
}
