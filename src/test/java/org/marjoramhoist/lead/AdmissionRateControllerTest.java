package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** A leader with a queue in virtual time, which pays for each job that reaches it. */
class AdmissionRateControllerTest {

  private static final double STEP_MICROS = 100_000;
  private static final int STEPS = 300;
  private static final int SETTLED = 100;

  /** The share of what a leader carries that it completes without a long delay. */
  private static double completed(double load, boolean shed) {
    AdmissionRateController intake = new AdmissionRateController();
    double share = 1;
    double queuedMicros = 0;
    double done = 0;
    for (int i = 0; i < STEPS; i++) {
      queuedMicros += load * share * STEP_MICROS;
      double worked = Math.min(queuedMicros, STEP_MICROS);
      boolean inTime = queuedMicros < 4 * STEP_MICROS;
      queuedMicros -= worked;
      if (i >= SETTLED && inTime) {
        done += worked;
      }
      share = shed ? intake.update(queuedMicros) : 1;
    }
    return done / ((STEPS - SETTLED) * STEP_MICROS);
  }

  @Test
  void completesMostOfWhatItCarriesWhenAskedForMore() {
    assertThat(completed(2, false)).isEqualTo(0);
    assertThat(completed(2, true)).isAtLeast(0.8);
    assertThat(completed(4, true)).isAtLeast(0.8);
  }

  @Test
  void refusesNothingWhileThereIsTime() {
    assertThat(completed(0.9, true)).isWithin(1e-6).of(0.9);
  }

  @Test
  void shortDelaysChangeNothing() {
    AdmissionRateController intake = new AdmissionRateController();
    for (int i = 0; i < STEPS; i++) {
      assertThat(intake.update(15_000)).isEqualTo(1);
    }
  }

  @Test
  void slowFirstSecondChangesNothing() {
    AdmissionRateController intake = new AdmissionRateController();
    for (int i = 0; i < 12; i++) {
      assertThat(intake.update(200_000)).isEqualTo(1);
    }
    assertThat(intake.update(5_000)).isEqualTo(1);
    assertThat(intake.update(200_000)).isEqualTo(1);
  }
}
