package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RunRef;

/** Some workers leave start orders unanswered while the others answer theirs. */
class StartWindowTest extends DispatcherFixture {

  private static final JobId JOB = new JobId("0000000000000001");

  @BeforeEach
  void submit() {
    listWorkers(worker("w", 1_000_000, false));
    report("w", List.of());
    actions.clear();
    JobDescription job = new JobDescription(JOB, "p", List.of(tasks(400, List.of())), Set.of());
    step(
        1,
        new DispatchEvent.JobSubmitted(
            job, REQUEST_CLASS, "e", now, now + 2_000 * MICROS_PER_MILLI, 0));
  }

  private List<RunRef> takeOrderedRuns() {
    return takeActions(DispatchAction.Start.class).stream().map(DispatchAction.Start::run).toList();
  }

  private void answer(long afterMillis, List<RunRef> runs) {
    now += afterMillis * MICROS_PER_MILLI;
    runs.forEach(run -> confirmStart("w", run));
  }

  @Test
  void overtakenOrdersDoNotBlockOthers() {
    List<RunRef> first = takeOrderedRuns();
    assertThat(first).hasSize(24);
    answer(12, first.subList(0, 4));
    List<RunRef> second = takeOrderedRuns();
    assertThat(second).hasSize(4);
    answer(2, second);
    assertThat(takeOrderedRuns()).hasSize(24);
    assertThat(dispatcher.snapshot(now).runs().unansweredStarts()).isEqualTo(44);
  }

  @Test
  void overloadedLeaderOrdersOnlyAsManyAsAreAnswered() {
    List<RunRef> unanswered = takeOrderedRuns();
    for (int i = 0; i < 10; i++) {
      answer(50, unanswered);
      unanswered = takeOrderedRuns();
      assertThat(unanswered).hasSize(24);
      assertThat(dispatcher.snapshot(now).runs().unansweredStarts()).isEqualTo(24);
    }
  }

  @Test
  void overtakenOrdersAreLimited() {
    for (int i = 0; i < 100; i++) {
      List<RunRef> some = takeOrderedRuns();
      answer(12, some.subList(0, Math.min(1, some.size())));
    }
    assertThat(dispatcher.snapshot(now).runs().unansweredStarts()).isAtMost(8 * 24 + 2 * 24);
  }

  @Test
  void endOfSilentOrderAllowsAnother() {
    List<RunRef> first = takeOrderedRuns();
    answer(12, first.subList(0, 4));
    answer(2, takeOrderedRuns());
    takeOrderedRuns();
    for (RunRef run : first.subList(4, 24)) {
      step(0, unanswered("w", run, true));
    }
    assertThat(dispatcher.snapshot(now).runs().unansweredStarts()).isEqualTo(24);
  }
}
