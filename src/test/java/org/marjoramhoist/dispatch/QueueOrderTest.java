package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;

/** The places of waiting jobs. */
class QueueOrderTest {

  private static final long MILLI = 1_000;

  private final QueueOrder order =
      new QueueOrder(new DurationModel(), new FairShareWeights(false, 0), SchedulingPolicy.DEFAULT);

  private static Job job(int number, long arrivedAt) {
    JobDescription description =
        new JobDescription(
            new JobId(String.format("%016x", number)),
            "p",
            List.of(DispatcherFixture.tasks(2, List.of())),
            Set.<JobFeature>of());
    return new Job(
        description, DispatcherFixture.REQUEST_CLASS, arrivedAt, arrivedAt + 1_500 * MILLI, 0);
  }

  /** A caller that was refused and comes back has a new request, and waits behind the others. */
  @Test
  void returningJobComesBehindThoseThatWait() {
    Job returning = job(1, 30 * MILLI);
    List<Job> waiting = List.of(returning, job(2, 0), job(3, 20 * MILLI));
    List<QueueOrder.Position> inTime = order.sort(waiting, 30 * MILLI);
    assertThat(inTime.get(2).job()).isSameInstanceAs(returning);
    assertThat(inTime.get(2).late()).isFalse();
    List<QueueOrder.Position> late = order.sort(waiting, 200 * MILLI);
    assertThat(late.get(2).job()).isSameInstanceAs(returning);
    assertThat(late.get(0).late()).isTrue();
  }

  /** A job that can be in time goes before late ones for that reason, returning or not. */
  @Test
  void onlyLateJobsAreOvertaken() {
    Job returning = job(1, 200 * MILLI);
    List<QueueOrder.Position> places = order.sort(List.of(job(2, 0), returning), 200 * MILLI);
    assertThat(places.get(0).job()).isSameInstanceAs(returning);
    assertThat(places.get(1).late()).isTrue();
  }
}
