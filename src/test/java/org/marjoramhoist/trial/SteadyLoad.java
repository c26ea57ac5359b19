package org.marjoramhoist.trial;

import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;
import java.util.stream.Collectors;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.supervise.DaemonTimer;

/**
 * Callers of several hosts that send jobs at a fixed rate, each job once, whether or not earlier
 * ones have been answered. The answers can be read after the callers are closed.
 *
 * <p>Invariant: each job that was sent gets one answer. Safe for use by several threads.
 */
final class SteadyLoad implements AutoCloseable {

  private static final int SEND_INTERVAL_MILLIS = 5;
  private static final long STOP_MILLIS = 5_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int NO_RESPONSE = 0;

  /**
   * What a caller received.
   *
   * @param status the status; 0 if there was no response
   * @param at when it was received
   */
  record Answer(int status, Instant at) {}

  private final Map<JobId, Answer> answers = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final ScheduledExecutorService timer = DaemonTimer.create("steady-load");
  private final PlatformCluster cluster;
  private final IntUnaryOperator hostOf;
  private final int jobsPerSecond;
  private final IntFunction<String> bodyOf;
  private final long startedAt = System.nanoTime();

  /**
   * Starts the callers.
   *
   * @param hostOf returns the number of the host that a job is sent to, of the job's number
   * @param bodyOf returns the body of a job, of the job's number
   */
  SteadyLoad(
      PlatformCluster cluster,
      int jobsPerSecond,
      IntUnaryOperator hostOf,
      IntFunction<String> bodyOf) {
    this.cluster = cluster;
    this.hostOf = hostOf;
    this.jobsPerSecond = jobsPerSecond;
    this.bodyOf = bodyOf;
    timer.scheduleAtFixedRate(
        this::sendDue, SEND_INTERVAL_MILLIS, SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void sendDue() {
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedAt);
    long due = micros * jobsPerSecond / MICROS_PER_SECOND;
    while (sent.get() < due) {
      send(sent.incrementAndGet());
    }
  }

  private void send(int number) {
    String id = String.format(Locale.ROOT, "%016x", number);
    cluster
        .send(hostOf.applyAsInt(number), "POST", id, bodyOf.apply(number))
        .whenComplete((reply, error) -> record(new JobId(id), reply));
  }

  private void record(JobId id, HttpReply reply) {
    int status = reply == null ? NO_RESPONSE : reply.status();
    answers.put(id, new Answer(status, Instant.now()));
  }

  /** Returns whether each job that was sent has an answer. */
  boolean isAnswered() {
    return answers.size() == sent.get();
  }

  /** Returns the answers with a status, by job. */
  Map<JobId, Answer> answers(int status) {
    return answers.entrySet().stream()
        .filter(each -> each.getValue().status() == status)
        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  /** Sends no more jobs. */
  @Override
  public void close() throws InterruptedException {
    timer.shutdown();
    timer.awaitTermination(STOP_MILLIS, TimeUnit.MILLISECONDS);
  }
}
