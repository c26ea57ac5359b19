package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Simulates a leader with a queue, which spends processor time on each job that reaches it. */
class AdmissionRateControllerTest {

  private static final double STEP_MICROS = 100_000;
  private static final int STEPS = 300;
  private static final int WARM_UP_STEPS = 100;

  /**
   * Returns the share of the leader's capacity that is spent on jobs completed without a long
   * delay.
   *
   * @param load the offered load as a multiple of the capacity
   * @param controlled whether the controller limits the load
   */
  private static double completed(double load, boolean controlled) {
    AdmissionRateController controller = new AdmissionRateController();
    double share = 1;
    double queuedMicros = 0;
    double completedMicros = 0;
    for (int i = 0; i < STEPS; i++) {
      queuedMicros += load * share * STEP_MICROS;
      double worked = Math.min(queuedMicros, STEP_MICROS);
      boolean inTime = queuedMicros < 4 * STEP_MICROS;
      queuedMicros -= worked;
      if (i >= WARM_UP_STEPS && inTime) {
        completedMicros += worked;
      }
      share = controlled ? controller.update(queuedMicros) : 1;
    }
    return completedMicros / ((STEPS - WARM_UP_STEPS) * STEP_MICROS);
  }

  @Test
  void overloadedLeaderCompletesMostOfItsCapacity() {
    assertThat(completed(2, false)).isEqualTo(0);
    assertThat(completed(2, true)).isAtLeast(0.8);
    assertThat(completed(4, true)).isAtLeast(0.8);
  }

  @Test
  void admitsAllJobsWhileThereIsCapacity() {
    assertThat(completed(0.9, true)).isWithin(1e-6).of(0.9);
  }

  @Test
  void shortDelaysDoNotChangeTheShare() {
    AdmissionRateController controller = new AdmissionRateController();
    for (int i = 0; i < STEPS; i++) {
      assertThat(controller.update(15_000)).isEqualTo(1);
    }
  }

  @Test
  void slowFirstSecondDoesNotChangeTheShare() {
    AdmissionRateController controller = new AdmissionRateController();
    for (int i = 0; i < 12; i++) {
      assertThat(controller.update(200_000)).isEqualTo(1);
    }
    assertThat(controller.update(5_000)).isEqualTo(1);
    assertThat(controller.update(200_000)).isEqualTo(1);
  }
}
