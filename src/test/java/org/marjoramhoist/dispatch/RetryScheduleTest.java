package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobId;

/** When callers of refused jobs are told to come back. */
class RetryScheduleTest {

  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000 * MILLI;
  private static final long TICK = 20 * MILLI;
  private static final double CPU_MILLIS = 100_000;
  private static final int CALLERS = 1_000;

  /** The work of one job, of which a hundred are started a second. */
  private static final double JOB = CPU_MILLIS * SECOND / 100;

  private final RetrySchedule returns = new RetrySchedule();
  private long now = 1_000 * SECOND;

  private static JobId id(int number) {
    // Ids of callers are random; those of a test must not lie side by side.
    return new JobId(String.format("%016x", number * 0x9e3779b97f4a7c15L));
  }

  /** Lets time pass in which so many jobs are started in a tick while others wait. */
  private void drain(long micros, double jobsPerTick, double waitingJobs) {
    for (long end = now + micros; now < end; now += TICK) {
      returns.recordStarted(jobsPerTick * JOB);
      returns.recordBacklog(waitingJobs * JOB, CPU_MILLIS, now);
    }
  }

  private static Map<Long, Integer> countBy(Map<Integer, Long> times, long millis, boolean whole) {
    Map<Long, Integer> counts = new TreeMap<>();
    times.values().stream()
        .map(each -> whole ? (each + 999) / 1_000 * 1_000 : each)
        .forEach(each -> counts.merge(each / millis, 1, Integer::sum));
    return counts;
  }

  private Map<Integer, Long> refuseAll() {
    Map<Integer, Long> times = new TreeMap<>();
    for (int i = 0; i < CALLERS; i++) {
      times.put(i, returns.retryAfterMillis(id(i), JOB, now));
    }
    return times;
  }

  private static int most(Map<Long, Integer> counts) {
    return counts.values().stream().mapToInt(each -> each).max().orElseThrow();
  }

  /** Callers that come back together are refused together again. */
  @Test
  void returnsFillTheDrainRateWithoutPeak() {
    drain(4 * SECOND, 2, 50);
    Map<Integer, Long> times = refuseAll();
    assertThat(most(countBy(times, 250, false))).isAtMost(25 * 3 / 2);
    assertThat(most(countBy(times, 1_000, false))).isAtMost(150);
    // The header carries whole seconds, rounded up.
    assertThat(most(countBy(times, 1_000, true))).isAtMost(150);
    long last = times.values().stream().mapToLong(each -> each).max().orElseThrow();
    assertThat(last).isAtMost(13_000);
  }

  /** A rate that is measured counts for more than what the workers have. */
  @Test
  void returnsFollowTheMeasuredRate() {
    drain(12 * SECOND, 1, 10);
    assertThat(most(countBy(refuseAll(), 1_000, false))).isAtMost(75);
  }

  /** A caller that returns earlier is refused again. */
  @Test
  void nobodyReturnsBeforeWhatWaitsHasRoom() {
    drain(4 * SECOND, 2, 500);
    long first = refuseAll().values().stream().mapToLong(each -> each).min().orElseThrow();
    assertThat(first).isAtLeast(4_900);
    assertThat(first).isAtMost(5_700);
  }

  /** Under lasting overload times must not grow without bound or pile up in one slot. */
  @Test
  void timesAreBoundedAndEvenOnceAllSlotsAreBooked() {
    drain(4 * SECOND, 2, 50);
    Map<Integer, Long> times = new TreeMap<>();
    for (int i = 0; i < 10 * CALLERS; i++) {
      times.put(i, returns.retryAfterMillis(id(i), JOB, now));
    }
    times.values().forEach(each -> assertThat(each).isAtLeast(1_000));
    times.values().forEach(each -> assertThat(each).isAtMost(20_000));
    assertThat(most(countBy(times, 1_000, false))).isAtMost(10 * CALLERS * 3 / 2 / 19);
  }

  /** Slots of the ring that keep old bookings would delay returns for no reason. */
  @Test
  void bookedSlotsAreFreeAgainOnceTheyHavePassed() {
    drain(4 * SECOND, 2, 50);
    refuseAll();
    assertThat(returns.forecast(1, now).roomMillis()).isAtLeast(10_000);
    drain(30 * SECOND, 2, 50);
    assertThat(returns.forecast(1, now).roomMillis()).isAtMost(1_500);
  }

  /** What is started while nothing waits is what is asked for, not what could be started. */
  @Test
  void calmTimesDoNotCountAsSlow() {
    drain(20 * SECOND, 0.1, 0);
    assertThat(returns.retryAfterMillis(id(1), JOB, now)).isAtMost(1_500);
  }

  /** A large job takes the room of several slots. */
  @Test
  void largeJobsTakeTheRoomOfSeveralSlots() {
    drain(4 * SECOND, 2, 50);
    long first = returns.retryAfterMillis(id(1), 200 * JOB, now);
    long second = returns.retryAfterMillis(id(2), JOB, now);
    assertThat(second - first).isAtLeast(1_500);
  }

  /** Without workers the rate is 0, and the expected wait would be infinite. */
  @Test
  void timesWithoutAnyWorkerAreThoseOfHostsWithoutLeader() {
    long retry = returns.retryAfterMillis(id(1), JOB, now);
    assertThat(retry).isAtLeast(2_000);
    assertThat(retry).isAtMost(4_000);
    assertThat(returns.forecast(1, now)).isEqualTo(RetryForecast.NONE);
  }

  /** Callers that hosts refuse are not booked, and would return all at once. */
  @Test
  void theLessIsSentOnTheLongerTheSpread() {
    drain(SECOND, 2, 0);
    assertThat(returns.forecast(1, now).spreadMillis()).isEqualTo(2_000);
    assertThat(returns.forecast(0.25, now).spreadMillis()).isEqualTo(8_000);
    assertThat(returns.forecast(0, now).spreadMillis()).isEqualTo(20_000);
  }

  /** A forecast that never ages would delay callers long after a new leader is there. */
  @Test
  void forecastOfLostLeaderAgesOut() {
    ReceivedRetryForecast heard = new ReceivedRetryForecast();
    assertThat(heard.retryAfterMillis(id(1), 2_000, now)).isEqualTo(2_000);
    heard.update(new RetryForecast(9_000, 4_000), now);
    long fresh = heard.retryAfterMillis(id(1), 2_000, now);
    assertThat(fresh).isAtLeast(9_000);
    assertThat(fresh).isLessThan(13_000L);
    assertThat(heard.retryAfterMillis(id(1), 2_000, now + SECOND)).isEqualTo(fresh - 1_000);
    assertThat(heard.retryAfterMillis(id(1), 2_000, now + 2 * SECOND)).isEqualTo(2_000);
  }

  /** Leaders of an earlier version, and those with the default settings, tell nothing. */
  @Test
  void hostsUseTheirOwnTimesWithoutForecast() {
    ReceivedRetryForecast heard = new ReceivedRetryForecast();
    heard.update(new RetryForecast(9_000, 4_000), now);
    heard.update(RetryForecast.NONE, now);
    assertThat(heard.retryAfterMillis(id(1), 2_345, now)).isEqualTo(2_345);
  }
}
