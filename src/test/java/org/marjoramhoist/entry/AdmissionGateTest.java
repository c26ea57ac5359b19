package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.dispatch.SchedulingPolicy.Overload;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;

/** Which jobs are admitted when the leader accepts half of them. */
class AdmissionGateTest {

  private static final int JOBS = 400;
  private static final long INTERVAL_MICROS = 10_000;
  private static final JobDescription JOB =
      new JobDescription(
          new JobId("00000000000000a1"),
          "p",
          List.of(new StepSpec(4, new Resources(1_000, 1, 0), 50, List.of(), "", "", 0)),
          Set.<JobFeature>of());

  private static RequestClass classOf(int priority) {
    return new RequestClass("p" + priority, "h", "/p/", "reviews", priority, 3, 1.6, 60, false);
  }

  /** Returns the admitted shares of equally many jobs of priority 0 and of priority 2. */
  private static List<Double> admitted(Overload overload) {
    AdmissionGate gate =
        new AdmissionGate(
            new SchedulingPolicy(
                SchedulingPolicy.Placement.FASTEST,
                overload,
                false,
                Map.of(2, 10.0),
                SchedulingPolicy.DEFAULT_LATE_VALUE));
    gate.setShare(0.5);
    double low = 0;
    double high = 0;
    for (int i = 0; i < JOBS; i++) {
      low += gate.admit(JOB, classOf(0), i * INTERVAL_MICROS) ? 1 : 0;
      high += gate.admit(JOB, classOf(2), i * INTERVAL_MICROS) ? 1 : 0;
    }
    return List.of(low / JOBS, high / JOBS);
  }

  @Test
  void admitsJobsOfHigherValueWhenSheddingIsEnabled() {
    List<Double> admitted = admitted(Overload.SHED);
    assertThat(admitted.get(0)).isAtLeast(0.03);
    assertThat(admitted.get(0)).isAtMost(0.1);
    assertThat(admitted.get(1)).isAtLeast(0.9);
  }

  /** Without load shedding, which is the default, job values must have no effect. */
  @Test
  void admitsHalfOfAllJobsOtherwise() {
    List<Double> admitted = admitted(Overload.QUEUE);
    assertThat(admitted.get(0) + admitted.get(1)).isWithin(0.01).of(1);
  }
}
