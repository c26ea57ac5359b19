package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.RecentOutcomes.Outcome;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;

/** What is remembered of jobs that have ended, and what is still true once it is forgotten. */
class RecentOutcomesTest {

  private static final JobId ID = new JobId("00000000000000aa");

  private final RecentOutcomes outcomes = new RecentOutcomes();

  /** Guards against a start by a submission that was sent before a refusal and a later try. */
  @Test
  void laterEndPreventsWhatEarlierRefusalPrevented() {
    outcomes.add(ID, Outcome.ofUnstarted(JobOutcome.REFUSED, "", 0, 1_000));
    outcomes.add(ID, Outcome.ofUnstarted(JobOutcome.ABANDONED, "withdrawn", 0, 2_000));
    assertThat(outcomes.takeAnswer(ID, 900, 30_000)).isNotNull();
    assertThat(outcomes.takeAnswer(ID, 1_001, 30_000)).isNull();
  }

  /** Guards against a job that is reported as not run although it was started before. */
  @Test
  void forgottenJobIsNotReportedAsNotRun() {
    outcomes.add(ID, new Outcome(JobOutcome.ABANDONED, "", 0, 1_000, true, 1));
    for (int i = 0; i < 20_001; i++) {
      JobId other = new JobId(String.format(Locale.ROOT, "%016x", 0x1000 + i));
      outcomes.add(other, Outcome.ofUnstarted(JobOutcome.REFUSED, "", 0, 2_000 + i));
    }
    outcomes.prune(30_000);
    assertThat(outcomes.find(ID)).isNull();
    assertThat(outcomes.takeAnswer(ID, 900, 30_000).outcome()).isEqualTo(JobOutcome.ABANDONED);
  }
}
