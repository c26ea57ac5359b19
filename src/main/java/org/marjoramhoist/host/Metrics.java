package org.marjoramhoist.host;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.marjoramhoist.decision.JobObservation;
import org.marjoramhoist.decision.Waste;
import org.marjoramhoist.model.ErrorKind;

/**
 * The metrics of a host, with histograms for each team and class.
 *
 * <p>Team and class labels are bounded in number; what comes after the bound is counted as {@code
 * other}. Safe for use by several threads.
 */
public final class Metrics {

  private static final int MAX_LABEL_PAIRS = 512;
  private static final String OTHER = "other";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Set<String> pairs = ConcurrentHashMap.newKeySet();

  /** Takes in an ended job. */
  void observe(JobObservation job) {
    Tags tags = tagsOf(job);
    timer("marjoramhoist.job.response", tags, job.responseMicros());
    if (job.firstStartMicros() >= 0) {
      timer("marjoramhoist.job.wait", tags, job.firstStartMicros());
    }
    if (job.error() == null) {
      timer("marjoramhoist.task.longest.run", tags, job.longestRunMicros());
      DistributionSummary.builder("marjoramhoist.job.slowdown")
          .tags(tags)
          .serviceLevelObjectives(1.1, 1.2, 1.5, 2, 3, 5, 10)
          .register(registry)
          .record((double) job.responseMicros() / Math.max(1, job.longestRunMicros()));
    }
    registry.counter("marjoramhoist.jobs", tags.and("outcome", outcome(job))).increment();
    registry.counter("marjoramhoist.tasks", tags).increment(job.tasks());
  }

  private static String outcome(JobObservation job) {
    return job.error() == null ? "complete" : job.error().name();
  }

  private Tags tagsOf(JobObservation job) {
    String pair = job.team() + "\u0000" + job.classId();
    if (!pairs.contains(pair) && pairs.size() >= MAX_LABEL_PAIRS) {
      return Tags.of("team", OTHER, "class", OTHER);
    }
    pairs.add(pair);
    return Tags.of("team", job.team().value(), "class", job.classId().value());
  }

  private void timer(String name, Tags tags, long micros) {
    Timer.builder(name)
        .tags(tags)
        .serviceLevelObjectives(
            Duration.ofMillis(1),
            Duration.ofMillis(5),
            Duration.ofMillis(20),
            Duration.ofMillis(50),
            Duration.ofMillis(100),
            Duration.ofMillis(200),
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(10))
        .register(registry)
        .record(micros, TimeUnit.MICROSECONDS);
  }

  /** Counts a wasted message. */
  void waste(Waste kind) {
    registry.counter("marjoramhoist.messages.wasted", "kind", kind.name()).increment();
  }

  /** Counts an answer that is an error. */
  public void refusal(ErrorKind kind) {
    registry.counter("marjoramhoist.errors", "kind", kind.name()).increment();
  }

  /** Counts a log event, so that what sampling leaves out is still seen. */
  void event(String name) {
    registry.counter("marjoramhoist.events", "event", name).increment();
  }

  /** Shows a number that is read when it is asked for. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /** Returns all metrics in Prometheus' text form. */
  public String scrape() {
    return registry.scrape();
  }
}
