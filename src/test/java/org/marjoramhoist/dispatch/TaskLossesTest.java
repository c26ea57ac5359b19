package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.TaskLosses.Handling;
import org.marjoramhoist.dispatch.WorkerLoss.Evidence;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.TaskRef;

/** What is held against a task whose workers are lost, and when it is given up. */
class TaskLossesTest {

  private static final long SECOND = 1_000_000;

  private final TaskLosses losses =
      new TaskLosses(new TaskRef(new JobId("00000000000000aa"), 0, 0));

  private void lose(int run, boolean exclusive, Evidence evidence) {
    losses.add(new WorkerLoss(run, "w" + run, exclusive, true, evidence), 0);
  }

  @Test
  void silentWorkersAreNotHeldAgainstIt() {
    lose(1, false, Evidence.SILENT);
    lose(2, false, Evidence.SILENT);
    lose(3, false, Evidence.SILENT);
    assertThat(losses.handling(0)).isEqualTo(Handling.SHARED);
  }

  @Test
  void runsAloneAfterWorkerRefusedConnections() {
    lose(1, false, Evidence.REFUSED);
    assertThat(losses.handling(0)).isEqualTo(Handling.EXCLUSIVE);
  }

  @Test
  void isNotHeldResponsibleOnceItsWorkerAnswersAgain() {
    lose(1, false, Evidence.REFUSED);
    assertThat(losses.workerAnswered("w1")).isTrue();
    assertThat(losses.handling(0)).isEqualTo(Handling.SHARED);
  }

  @Test
  void isGivenUpOnceTwoWorkersCrashedOneOfThemWithNothingElse() {
    lose(1, false, Evidence.REFUSED);
    lose(2, true, Evidence.REFUSED);
    assertThat(losses.handling(0)).isEqualTo(Handling.HELD);
    losses.workerCrashed("w2");
    assertThat(losses.handling(0)).isEqualTo(Handling.HELD);
    losses.workerCrashed("w1");
    assertThat(losses.handling(0)).isEqualTo(Handling.GIVEN_UP);
  }

  @Test
  void isNotGivenUpForTwoWorkersThatRanOtherTasksToo() {
    lose(1, false, Evidence.CRASHED);
    lose(2, false, Evidence.CRASHED);
    assertThat(losses.handling(0)).isEqualTo(Handling.EXCLUSIVE);
    lose(3, false, Evidence.CRASHED);
    assertThat(losses.handling(0)).isEqualTo(Handling.GIVEN_UP);
  }

  @Test
  void isNotHeldForeverWithoutEvidence() {
    lose(1, false, Evidence.REFUSED);
    lose(2, true, Evidence.REFUSED);
    assertThat(losses.handling(6 * SECOND)).isEqualTo(Handling.HELD);
    assertThat(losses.handling(7 * SECOND)).isEqualTo(Handling.EXCLUSIVE);
  }

  /** Refusals alone, behind cuts, gave up the task of a job. */
  @Test
  void isNeverGivenUpWithoutProof() {
    for (int run = 1; run <= 8; run++) {
      lose(run, true, Evidence.REFUSED);
      assertThat(losses.handling(0)).isNotEqualTo(Handling.GIVEN_UP);
    }
    losses.workerCrashed("w8");
    assertThat(losses.handling(0)).isNotEqualTo(Handling.GIVEN_UP);
  }

  @Test
  void isHeldLongerAfterFurtherUnprovedLosses() {
    lose(1, false, Evidence.REFUSED);
    lose(2, true, Evidence.REFUSED);
    lose(3, true, Evidence.REFUSED);
    assertThat(losses.handling(11 * SECOND)).isEqualTo(Handling.HELD);
    assertThat(losses.handling(13 * SECOND)).isEqualTo(Handling.EXCLUSIVE);
  }

  @Test
  void countsEachRunOnce() {
    lose(1, false, Evidence.CRASHED);
    lose(1, false, Evidence.CRASHED);
    lose(1, false, Evidence.CRASHED);
    assertThat(losses.all()).hasSize(1);
  }
}
