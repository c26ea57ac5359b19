package org.marjoramhoist.entry;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.marjoramhoist.dispatch.CallFailure;
import org.marjoramhoist.dispatch.DispatchSnapshot;
import org.marjoramhoist.dispatch.ServedShares;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.log.LogEvent;

/**
 * The counters and histograms of an entry host.
 *
 * <p>The number of class tags is bounded; further classes are counted as {@code other}. Confined to
 * the event loop's thread, except for {@link #scrape}.
 */
final class NodeMetrics {

  private static final int MAX_CLASSES = 64;
  private static final String OTHER_CLASS = "other";
  private static final Duration[] RESPONSE_TIME_BUCKETS = {
    Duration.ofMillis(20),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(500),
    Duration.ofSeconds(1),
    Duration.ofSeconds(2),
    Duration.ofSeconds(5)
  };

  private static final double[] RETRY_AFTER_BUCKETS_SECONDS = {1, 2, 3, 5, 10, 20};

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Set<String> classes = new HashSet<>();
  private final Set<String> domainsWithGauge = new HashSet<>();
  private volatile Set<String> drainedDomains = Set.of();
  private final MultiGauge servedShares =
      MultiGauge.builder("marjoramhoist.leader.served.share").register(registry);
  private volatile LeaderStatus status = LeaderStatus.NONE;

  NodeMetrics() {
    gauge("marjoramhoist.leader.workers.listed", () -> workers().listed());
    gauge("marjoramhoist.leader.workers.synced", () -> workers().synced());
    gauge("marjoramhoist.leader.workers.usable", () -> workers().usable());
    gauge("marjoramhoist.leader.workers.slow", () -> workers().slow());
    gauge("marjoramhoist.leader.cpu.millis", () -> workers().totalCpuMillis());
    gauge("marjoramhoist.leader.cpu.millis.free", () -> workers().freeCpuMillis());
    gauge("marjoramhoist.leader.cpu.millis.usable", () -> workers().usableFreeCpuMillis());
    gauge("marjoramhoist.leader.runs.starting", () -> runs().starting());
    gauge("marjoramhoist.leader.runs.running", () -> runs().running());
    gauge("marjoramhoist.leader.runs.stopping", () -> runs().stopping());
    gauge("marjoramhoist.leader.runs.stopped", () -> runs().stopped());
    gauge("marjoramhoist.leader.runs.foreign", () -> runs().foreign());
    gauge("marjoramhoist.leader.starts.unanswered", () -> runs().unansweredStarts());
    gauge("marjoramhoist.leader.starts.silent", () -> runs().silentStarts());
    gauge("marjoramhoist.leader.starts.window", () -> starts().window());
    gauge("marjoramhoist.leader.starts.ordered", () -> starts().ordered());
    gauge("marjoramhoist.leader.starts.fast", () -> starts().fast());
    gauge("marjoramhoist.leader.starts.far", () -> starts().far());
    gauge("marjoramhoist.leader.tasks.suspected", () -> suspects().exclusive());
    gauge("marjoramhoist.leader.tasks.held", () -> suspects().held());
    gauge("marjoramhoist.leader.tasks.unanswered", () -> status.dispatch().unansweredTasks());
    gauge("marjoramhoist.leader.workers.reserved", () -> suspects().reservedWorkers());
    gauge("marjoramhoist.leader.starts.allowed", () -> flag(status.dispatch().startsAllowed()));
    gauge("marjoramhoist.leader.orders.allowed", () -> flag(status.mayOrder()));
    gauge("marjoramhoist.leader.workers.drained", () -> drain().workers());
    gauge("marjoramhoist.leader.runs.drained", () -> drain().runs());
    gauge("marjoramhoist.leader.drains.known", () -> flag(drain().known()));
    gauge("marjoramhoist.leader.settled", () -> flag(status.dispatch().settled()));
    gauge("marjoramhoist.leader.jobs.waiting", () -> status.dispatch().waitingJobs());
    gauge("marjoramhoist.leader.waiting.micros", () -> status.dispatch().waitingMicros());
    gauge("marjoramhoist.leader.jobs.displaced", () -> status.dispatch().displacedJobs());
    gauge("marjoramhoist.leader.events.queued", () -> status.queuedEvents());
    gauge("marjoramhoist.leader.steps.micros", () -> status.load().stepMicros());
    gauge("marjoramhoist.leader.step.longest.micros", () -> status.load().longestStepMicros());
    gauge("marjoramhoist.leader.tick.late.micros", () -> status.load().tickLateMicros());
  }

  private DispatchSnapshot.Workers workers() {
    return status.dispatch().workers();
  }

  private DispatchSnapshot.Starts starts() {
    return status.dispatch().starts();
  }

  private DispatchSnapshot.Suspects suspects() {
    return status.dispatch().suspects();
  }

  private DispatchSnapshot.Runs runs() {
    return status.dispatch().runs();
  }

  private DispatchSnapshot.Drain drain() {
    return status.dispatch().drain();
  }

  private static int flag(boolean value) {
    return value ? 1 : 0;
  }

  /** Sets the status of this host as leader; {@link LeaderStatus#NONE} if it does not lead. */
  void setLeaderStatus(LeaderStatus newStatus) {
    status = newStatus;
    newStatus.dispatch().shed().keySet().forEach(this::registerShedGauges);
  }

  private void registerShedGauges(String requestClass) {
    Tags tags = Tags.of("class", classTag(requestClass));
    registerGauge("marjoramhoist.leader.shed.jobs", tags, () -> shed(requestClass).jobs());
    registerGauge("marjoramhoist.leader.shed.value", tags, () -> shed(requestClass).value());
  }

  private void registerGauge(String name, Tags tags, Supplier<Number> value) {
    Gauge.builder(name, value).tags(tags).strongReference(true).register(registry);
  }

  private DispatchSnapshot.Shed shed(String requestClass) {
    return status.dispatch().shed().getOrDefault(requestClass, new DispatchSnapshot.Shed(0, 0));
  }

  /** Records the response time of a job whose caller waited at this host. */
  void recordJob(String requestClass, JobOutcome outcome, long micros) {
    Tags tags = Tags.of("class", classTag(requestClass), "outcome", outcome.name());
    Timer.builder("marjoramhoist.job.response")
        .tags(tags)
        .serviceLevelObjectives(RESPONSE_TIME_BUCKETS)
        .register(registry)
        .record(micros, TimeUnit.MICROSECONDS);
  }

  /** Sets the served shares of the caller groups; previous groups are removed. */
  void setServedShares(Map<ServedShares.CallerGroup, Double> shares) {
    List<MultiGauge.Row<?>> rows = new ArrayList<>();
    shares.forEach(
        (group, share) -> {
          Tags tags = Tags.of("domain", group.origin(), "class", group.requestClass());
          rows.add(MultiGauge.Row.of(tags, share));
        });
    servedShares.register(rows, true);
  }

  /** Records the Retry-After delay sent to a refused caller. */
  void recordRetryAfter(long seconds) {
    DistributionSummary.builder("marjoramhoist.retry.after.seconds")
        .serviceLevelObjectives(RETRY_AFTER_BUCKETS_SECONDS)
        .register(registry)
        .record(seconds);
  }

  private String classTag(String requestClass) {
    if (classes.size() >= MAX_CLASSES && !classes.contains(requestClass)) {
      return OTHER_CLASS;
    }
    classes.add(requestClass);
    return requestClass;
  }

  /** Counts a logged event of the leader. */
  void countEvent(LogEvent event) {
    registry.counter("marjoramhoist.events", "event", event.name()).increment();
  }

  /** Counts a completed order to a worker. */
  void countOrder(String kind, String result) {
    registry.counter("marjoramhoist.orders", "kind", kind, "result", result).increment();
  }

  /** Counts an order to a worker that was not answered, by why it was not. */
  void countOrderFailure(String kind, CallFailure failure) {
    registry
        .counter("marjoramhoist.order.failures", "kind", kind, "failure", failure.name())
        .increment();
  }

  /**
   * Sets the drained failure domains; the gauges of domains that are no longer drained remain, at
   * 0.
   */
  void setDrainedDomains(Set<String> domains) {
    drainedDomains = Set.copyOf(domains);
    for (String domain : domains) {
      if (domainsWithGauge.add(domain)) {
        Gauge.builder("marjoramhoist.domain.drained", () -> flag(drainedDomains.contains(domain)))
            .tags(Tags.of("domain", domain))
            .strongReference(true)
            .register(registry);
      }
    }
  }

  /** Registers a gauge whose value is read at each scrape. */
  void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /** Registers a gauge with a tag. */
  void gauge(String name, String tag, String tagValue, Supplier<Number> value) {
    registerGauge(name, Tags.of(tag, tagValue), value);
  }

  /** Registers a counter with a tag, whose count is read from its source at each scrape. */
  <T> void counter(String name, String tag, String tagValue, T source, ToDoubleFunction<T> count) {
    FunctionCounter.builder(name, source, count).tags(Tags.of(tag, tagValue)).register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  String scrape() {
    return registry.scrape();
  }
}
