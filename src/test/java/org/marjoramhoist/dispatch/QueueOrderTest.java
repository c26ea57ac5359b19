package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;

/** Tests the queue positions of waiting jobs. */
class QueueOrderTest {

  private static final long MICROS_PER_MILLI = 1_000;

  private final QueueOrder order =
      new QueueOrder(new DurationModel(), new FairShareWeights(false, 0), SchedulingPolicy.DEFAULT);

  private static Job job(int number, long arrivedAt) {
    JobDescription description =
        new JobDescription(
            new JobId(String.format(Locale.ROOT, "%016x", number)),
            "p",
            List.of(DispatcherFixture.tasks(2, List.of())),
            Set.<JobFeature>of());
    return new Job(
        description,
        DispatcherFixture.REQUEST_CLASS,
        arrivedAt,
        arrivedAt + 1_500 * MICROS_PER_MILLI,
        0);
  }

  /** A retry by a refused caller is a new request and must be queued behind the waiting jobs. */
  @Test
  void retriedJobIsQueuedBehindWaitingJobs() {
    Job retried = job(1, 30 * MICROS_PER_MILLI);
    List<Job> waiting = List.of(retried, job(2, 0), job(3, 20 * MICROS_PER_MILLI));
    List<QueueOrder.Position> onTime = order.sort(waiting, 30 * MICROS_PER_MILLI);
    assertThat(onTime.get(2).job()).isSameInstanceAs(retried);
    assertThat(onTime.get(2).late()).isFalse();
    List<QueueOrder.Position> late = order.sort(waiting, 200 * MICROS_PER_MILLI);
    assertThat(late.get(2).job()).isSameInstanceAs(retried);
    assertThat(late.get(0).late()).isTrue();
  }

  /** A job that can meet its objective precedes late jobs, whether it is a retry or not. */
  @Test
  void retriedJobPrecedesOnlyLateJobs() {
    Job retried = job(1, 200 * MICROS_PER_MILLI);
    List<QueueOrder.Position> places =
        order.sort(List.of(job(2, 0), retried), 200 * MICROS_PER_MILLI);
    assertThat(places.get(0).job()).isSameInstanceAs(retried);
    assertThat(places.get(1).late()).isTrue();
  }
}
