package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;

/** The adaptive window of unanswered start orders while capacity is free. */
class AdaptiveStartWindowTest extends DispatcherFixture {

  private static final int TASKS = 400;

  @BeforeEach
  void submit() {
    policy =
        POLICY.withScheduling(
            SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK));
    beginTerm(now);
    listWorkers(worker("w", 1_000_000, false));
    report("w", List.of());
    actions.clear();
    JobId id = new JobId("0000000000000001");
    JobDescription job = new JobDescription(id, "p", List.of(tasks(TASKS, List.of())), Set.of());
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now, now + 9_000 * MICROS_PER_MILLI, 0));
  }

  /** Confirms all start orders after a delay, and returns how many there were. */
  private int answerAll(long afterMillis) {
    List<RunRef> orders =
        takeActions(DispatchAction.Start.class).stream().map(DispatchAction.Start::run).toList();
    now += afterMillis * MICROS_PER_MILLI;
    orders.forEach(run -> confirmStart("w", run));
    return orders.size();
  }

  private int unanswered() {
    return dispatcher.snapshot(now).runs().unansweredStarts();
  }

  /**
   * With 24 orders a round trip, the tasks would wait for 17 round trips while capacity is free.
   */
  @Test
  void loadIncreaseStartsWithinFewRoundTrips() {
    int ordered = 0;
    for (int trip = 0; trip < 6; trip++) {
      ordered += answerAll(2);
    }
    assertThat(ordered).isEqualTo(TASKS);
  }

  /** Each order adds to the work of an overloaded leader. */
  @Test
  void windowOfOverloadedLeaderStaysAtItsMinimum() {
    for (int trip = 0; trip < 10; trip++) {
      assertThat(unanswered()).isEqualTo(24);
      answerAll(50);
    }
  }

  /** A window that stays wide would let a leader that becomes overloaded add to its own work. */
  @Test
  void windowNarrowsWhenTheLeaderBecomesOverloaded() {
    answerAll(2);
    answerAll(2);
    assertThat(dispatcher.snapshot(now).starts().window()).isAtLeast(48);
    for (int trip = 0; trip < 4; trip++) {
      answerAll(50);
    }
    assertThat(dispatcher.snapshot(now).starts().window()).isEqualTo(24);
  }
}
