package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobId;

/** Tests the retry times returned to callers of refused jobs. */
class RetryScheduleTest {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000 * MICROS_PER_MILLI;
  private static final long TICK_MICROS = 20 * MICROS_PER_MILLI;
  private static final double CPU_MILLIS = 100_000;
  private static final int CALLERS = 1_000;

  /** The work of one job; the workers can start one hundred such jobs per second. */
  private static final double JOB_WORK = CPU_MILLIS * MICROS_PER_SECOND / 100;

  private final RetrySchedule schedule = new RetrySchedule();
  private long now = 1_000 * MICROS_PER_SECOND;

  private static JobId id(int number) {
    // Caller-supplied ids are random, so the ids of this test must not be consecutive.
    return new JobId(String.format(Locale.ROOT, "%016x", number * 0x9e3779b97f4a7c15L));
  }

  /** Simulates a period in which jobs are started at a constant rate while others wait. */
  private void simulate(long micros, double jobsPerTick, double waitingJobs) {
    for (long end = now + micros; now < end; now += TICK_MICROS) {
      schedule.recordStarted(jobsPerTick * JOB_WORK);
      schedule.recordBacklog(waitingJobs * JOB_WORK, CPU_MILLIS, now);
    }
  }

  private static Map<Long, Integer> countBy(
      Map<Integer, Long> retryMillis, long millis, boolean roundUp) {
    Map<Long, Integer> counts = new TreeMap<>();
    retryMillis.values().stream()
        .map(each -> roundUp ? (each + 999) / 1_000 * 1_000 : each)
        .forEach(each -> counts.merge(each / millis, 1, Integer::sum));
    return counts;
  }

  private Map<Integer, Long> refuseAll() {
    Map<Integer, Long> retryMillis = new TreeMap<>();
    for (int i = 0; i < CALLERS; i++) {
      retryMillis.put(i, schedule.retryAfterMillis(id(i), JOB_WORK, now));
    }
    return retryMillis;
  }

  private static int max(Map<Long, Integer> counts) {
    return counts.values().stream().mapToInt(each -> each).max().orElseThrow();
  }

  /** Callers that retry at the same time would be refused again. */
  @Test
  void retriesMatchTheStartRateWithoutPeaks() {
    simulate(4 * MICROS_PER_SECOND, 2, 50);
    Map<Integer, Long> retryMillis = refuseAll();
    assertThat(max(countBy(retryMillis, 250, false))).isAtMost(25 * 3 / 2);
    assertThat(max(countBy(retryMillis, 1_000, false))).isAtMost(150);
    // The Retry-After header contains whole seconds, rounded up.
    assertThat(max(countBy(retryMillis, 1_000, true))).isAtMost(150);
    long last = retryMillis.values().stream().mapToLong(each -> each).max().orElseThrow();
    assertThat(last).isAtMost(13_000);
  }

  /** The measured start rate must take precedence over the capacity of the workers. */
  @Test
  void retriesFollowTheMeasuredRate() {
    simulate(12 * MICROS_PER_SECOND, 1, 10);
    assertThat(max(countBy(refuseAll(), 1_000, false))).isAtMost(75);
  }

  /** Callers that retry before the backlog is started would be refused again. */
  @Test
  void nobodyRetriesBeforeTheBacklogIsStarted() {
    simulate(4 * MICROS_PER_SECOND, 2, 500);
    long first = refuseAll().values().stream().mapToLong(each -> each).min().orElseThrow();
    assertThat(first).isAtLeast(4_900);
    assertThat(first).isAtMost(5_700);
  }

  /**
   * Under sustained overload, retry times must neither grow without bound nor accumulate in one
   * slot.
   */
  @Test
  void retryTimesAreBoundedAndEvenWhenAllSlotsAreBooked() {
    simulate(4 * MICROS_PER_SECOND, 2, 50);
    Map<Integer, Long> retryMillis = new TreeMap<>();
    for (int i = 0; i < 10 * CALLERS; i++) {
      retryMillis.put(i, schedule.retryAfterMillis(id(i), JOB_WORK, now));
    }
    retryMillis.values().forEach(each -> assertThat(each).isAtLeast(1_000));
    retryMillis.values().forEach(each -> assertThat(each).isAtMost(20_000));
    assertThat(max(countBy(retryMillis, 1_000, false))).isAtMost(10 * CALLERS * 3 / 2 / 19);
  }

  /** If passed slots kept their bookings, later retries would be delayed needlessly. */
  @Test
  void passedSlotsAreCleared() {
    simulate(4 * MICROS_PER_SECOND, 2, 50);
    refuseAll();
    assertThat(schedule.forecast(1, now).roomMillis()).isAtLeast(10_000);
    simulate(30 * MICROS_PER_SECOND, 2, 50);
    assertThat(schedule.forecast(1, now).roomMillis()).isAtMost(1_500);
  }

  /** While no jobs wait, the start rate reflects the demand, not the capacity. */
  @Test
  void periodsWithoutBacklogDoNotLowerTheRate() {
    simulate(20 * MICROS_PER_SECOND, 0.1, 0);
    assertThat(schedule.retryAfterMillis(id(1), JOB_WORK, now)).isAtMost(1_500);
  }

  @Test
  void largeJobsOccupySeveralSlots() {
    simulate(4 * MICROS_PER_SECOND, 2, 50);
    long first = schedule.retryAfterMillis(id(1), 200 * JOB_WORK, now);
    long second = schedule.retryAfterMillis(id(2), JOB_WORK, now);
    assertThat(second - first).isAtLeast(1_500);
  }

  /** Without workers the start rate is 0, and the expected wait would be infinite. */
  @Test
  void defaultRetryTimesAreUsedWithoutWorkers() {
    long retry = schedule.retryAfterMillis(id(1), JOB_WORK, now);
    assertThat(retry).isAtLeast(2_000);
    assertThat(retry).isAtMost(4_000);
    assertThat(schedule.forecast(1, now)).isEqualTo(RetryForecast.NONE);
  }

  /** Callers refused by entry hosts are not booked and would otherwise all retry at once. */
  @Test
  void spreadGrowsAsTheAdmittedShareFalls() {
    simulate(MICROS_PER_SECOND, 2, 0);
    assertThat(schedule.forecast(1, now).spreadMillis()).isEqualTo(2_000);
    assertThat(schedule.forecast(0.25, now).spreadMillis()).isEqualTo(8_000);
    assertThat(schedule.forecast(0, now).spreadMillis()).isEqualTo(20_000);
  }

  /** A forecast that never expired would still delay callers long after a leader change. */
  @Test
  void forecastOfLostLeaderExpires() {
    ReceivedRetryForecast received = new ReceivedRetryForecast();
    assertThat(received.retryAfterMillis(id(1), 2_000, now)).isEqualTo(2_000);
    received.update(new RetryForecast(9_000, 4_000), now);
    long initial = received.retryAfterMillis(id(1), 2_000, now);
    assertThat(initial).isAtLeast(9_000);
    assertThat(initial).isLessThan(13_000L);
    assertThat(received.retryAfterMillis(id(1), 2_000, now + MICROS_PER_SECOND))
        .isEqualTo(initial - 1_000);
    assertThat(received.retryAfterMillis(id(1), 2_000, now + 2 * MICROS_PER_SECOND))
        .isEqualTo(2_000);
  }

  /** Leaders of an earlier version and leaders with the default settings send no forecast. */
  @Test
  void hostsUseTheirDefaultWithoutForecast() {
    ReceivedRetryForecast received = new ReceivedRetryForecast();
    received.update(new RetryForecast(9_000, 4_000), now);
    received.update(RetryForecast.NONE, now);
    assertThat(received.retryAfterMillis(id(1), 2_345, now)).isEqualTo(2_345);
  }
}
