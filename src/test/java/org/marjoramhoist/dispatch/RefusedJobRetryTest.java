package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.SchedulingPolicy.Overload;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;

/** Tests the retry times that a leader returns to the callers of refused jobs. */
class RefusedJobRetryTest extends DispatcherFixture {

  private static final int JOBS = 20;

  private List<Long> retryMillisOfRefusedJobs(Overload overload) {
    SchedulingPolicy scheduling =
        new SchedulingPolicy(
            SchedulingPolicy.Placement.FASTEST,
            overload,
            false,
            Map.of(),
            SchedulingPolicy.DEFAULT_LATE_VALUE);
    dispatcher = new Dispatcher(POLICY.withScheduling(scheduling), now, now, 0);
    step(0, new DispatchEvent.DomainsDrained(Set.of()));
    step(0, new DispatchEvent.RosterLoaded(List.of()));
    listWorkers(worker("w", 1_000, false));
    report("w", List.of());
    for (int i = 0; i < JOBS; i++) {
      JobId id = new JobId(String.format(Locale.ROOT, "%016x", i * 0x9e3779b97f4a7c15L));
      JobDescription job =
          new JobDescription(id, "p", List.of(tasks(10, List.of())), Set.<JobFeature>of());
      step(
          0,
          new DispatchEvent.JobSubmitted(
              job, REQUEST_CLASS, "e", now, now + 1_500 * MICROS_PER_MILLI, 0));
    }
    step(20, new DispatchEvent.Tick());
    step(500, new DispatchEvent.Tick());
    return takeActions(DispatchAction.Finish.class).stream()
        .filter(end -> end.outcome() == JobOutcome.REFUSED)
        .map(DispatchAction.Finish::retryAfterMillis)
        .toList();
  }

  /** Each job is half a second of work. Callers that all retried at once would be refused again. */
  @Test
  void refusedCallersRetryAtTheRateOfTheWorkers() {
    List<Long> retryMillis = retryMillisOfRefusedJobs(Overload.SHED);
    assertThat(retryMillis.size()).isAtLeast(JOBS / 2);
    for (long from = 1_000; from < 16_000; from += 1_000) {
      long windowStart = from;
      long retries =
          retryMillis.stream().filter(t -> t >= windowStart && t < windowStart + 1_000).count();
      assertThat(retries).isAtMost(3);
    }
    // Jobs refused at the same time must not count as backlog of each other.
    assertThat(retryMillis.get(0)).isAtMost(2_000);
    assertThat(dispatcher.retryForecast(1, now).roomMillis()).isAtLeast(8_000);
  }

  @Test
  void noForecastIsAvailableUnlessJobsAreShed() {
    assertThat(retryMillisOfRefusedJobs(Overload.QUEUE)).isNotEmpty();
    assertThat(dispatcher.retryForecast(1, now)).isEqualTo(RetryForecast.NONE);
  }
}
