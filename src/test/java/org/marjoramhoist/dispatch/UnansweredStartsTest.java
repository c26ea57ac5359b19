package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.log.LogEvent;

/** Orders to start one task that a worker leaves unanswered though it answers all else. */
class UnansweredStartsTest extends DispatcherFixture {

  private static final long TICK_MILLIS = 20;

  /** How long an order takes to fail, be stopped, and be missing from a report. */
  private static final long ORDER_MILLIS = 8;

  @BeforeEach
  void submit() {
    listWorkers(worker("w", 8_000, false));
    report("w", List.of());
    JobDescription job =
        new JobDescription(
            new JobId("00000000000000a1"), "p", List.of(tasks(1, List.of())), Set.of());
    long deadline = now + 60_000 * MICROS_PER_MILLI;
    step(0, new DispatchEvent.JobSubmitted(job, REQUEST_CLASS, "e", now, deadline, 0));
  }

  /** Lets an order fail as those did whose request was shorter than it said. */
  private void leaveUnanswered(RunRef run) {
    step(
        ORDER_MILLIS, new DispatchEvent.StartUnanswered("w", run, true, CallFailure.BROKEN, "cut"));
    step(0, new DispatchEvent.StopEnded("w", run, true));
    report("w", List.of());
  }

  /** Lets time pass up to the next order, and returns how long it was, in milliseconds. */
  private long awaitOrder(List<RunRef> orders) {
    long from = now;
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    while (starts.isEmpty()) {
      step(TICK_MILLIS, new DispatchEvent.Tick());
      report("w", List.of());
      starts = takeActions(DispatchAction.Start.class);
    }
    orders.add(starts.get(0).run());
    return (now - from) / MICROS_PER_MILLI;
  }

  private List<String> logged() {
    return takeActions(DispatchAction.Log.class).stream()
        .filter(log -> log.event() == LogEvent.TASK_UNANSWERED)
        .map(DispatchAction.Log::detail)
        .toList();
  }

  /** Guards against hundreds of orders a second for one task that no worker answers. */
  @Test
  void taskThatNoWorkerAnswersIsOrderedEverMoreRarely() {
    List<RunRef> orders = new ArrayList<>();
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      waits.add(awaitOrder(orders));
      leaveUnanswered(orders.get(i));
    }
    assertThat(waits.subList(0, 5)).containsExactly(0L, 0L, 0L, 0L, 0L);
    assertThat(waits.get(5)).isAtLeast(50);
    assertThat(waits.get(19)).isAtLeast(1_000);
    assertThat(waits.get(19)).isAtMost(1_100);
    List<String> lines = logged();
    assertThat(lines).hasSize(3);
    assertThat(lines.get(0)).contains("orders=5 pauseMicros=50000 mayRun=true failure=BROKEN");
    assertThat(lines.get(2)).contains("orders=20 pauseMicros=1000000");
    assertThat(dispatcher.snapshot(now).unansweredTasks()).isEqualTo(1);
  }

  @Test
  void answerEndsThePauses() {
    List<RunRef> orders = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      awaitOrder(orders);
      leaveUnanswered(orders.get(i));
    }
    awaitOrder(orders);
    confirmStart("w", orders.get(7));
    assertThat(dispatcher.snapshot(now).unansweredTasks()).isEqualTo(0);
  }

  /** A worker that is out of reach says nothing about the task. */
  @Test
  void ordersToWorkerThatRestartsDoNotCount() {
    List<RunRef> orders = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      assertThat(awaitOrder(orders)).isEqualTo(0);
      step(
          ORDER_MILLIS,
          new DispatchEvent.StartUnanswered(
              "w", orders.get(i), false, CallFailure.REFUSED, "refused"));
      step(0, new DispatchEvent.RenewalFailed("w", CallFailure.BROKEN));
      report("w", List.of());
    }
    assertThat(logged()).isEmpty();
  }
}
