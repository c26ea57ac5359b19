package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which jobs an entry host forwards to a leader that can't start all of them. */
class ValueBasedAdmissionTest {

  private record Workload(String requestClass, int perRound, double value, int tasks) {}

  /**
   * The request classes of the first customer, with the number of jobs that arrive at one entry
   * host in about 170 ms.
   */
  private static final List<Workload> MIXED =
      List.of(
          new Workload("short", 6, 4.85, 8),
          new Workload("long", 1, 26.7, 4),
          new Workload("plain", 16, 1.67, 2));

  private static final int ROUNDS = 400;
  private static final int WARM_UP_ROUNDS = 50;
  private static final long ROUND_MICROS = 170_000;

  private static Map<String, Double> admitted(List<Workload> workloads, double share) {
    ValueBasedAdmission admission = new ValueBasedAdmission();
    Map<String, Double> admitted = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (Workload workload : workloads) {
        for (int i = 0; i < workload.perRound(); i++) {
          boolean isAdmitted =
              admission.admit(
                  workload.requestClass(),
                  workload.value(),
                  workload.tasks(),
                  share,
                  round * ROUND_MICROS);
          if (isAdmitted && round >= WARM_UP_ROUNDS) {
            double increment = 1.0 / workload.perRound() / (ROUNDS - WARM_UP_ROUNDS);
            admitted.merge(workload.requestClass(), increment, Double::sum);
          }
        }
      }
    }
    return admitted;
  }

  private static double admittedStartShare(Map<String, Double> admitted) {
    double totalStarts = 0;
    double admittedStarts = 0;
    for (Workload workload : MIXED) {
      totalStarts += workload.perRound() * workload.tasks();
      admittedStarts +=
          workload.perRound()
              * workload.tasks()
              * admitted.getOrDefault(workload.requestClass(), 0.0);
    }
    return admittedStarts / totalStarts;
  }

  /** Uniform dropping would refuse the few most valuable jobs as often as the others. */
  @Test
  void jobsWithTheHighestValuePerStartAreAdmitted() {
    Map<String, Double> admitted = admitted(MIXED, 0.5);
    assertThat(admitted.get("long")).isAtLeast(0.99);
    assertThat(admitted.get("plain")).isGreaterThan(admitted.get("short"));
  }

  /** More starts would overload the leader again, and fewer would waste its capacity. */
  @Test
  void admittedStartsMatchTheShare() {
    for (double share : new double[] {0.1, 0.3, 0.5, 0.8, 0.95}) {
      assertThat(admittedStartShare(admitted(MIXED, share))).isWithin(0.02).of(share);
    }
  }

  /** With a threshold alone, all jobs of the least valuable class would be refused. */
  @Test
  void noClassIsStarved() {
    for (Workload workload : MIXED) {
      assertThat(admitted(MIXED, 0.3).get(workload.requestClass())).isAtLeast(0.02);
    }
  }

  /** Ties must not be resolved by the name of the class. */
  @Test
  void classesOfEqualValueAreAdmittedEqually() {
    List<Workload> equal = List.of(new Workload("a", 7, 2, 4), new Workload("b", 3, 2, 4));
    Map<String, Double> admitted = admitted(equal, 0.4);
    assertThat(admitted.get("a")).isWithin(0.005).of(0.4);
    assertThat(admitted.get("b")).isWithin(0.005).of(0.4);
  }

  /**
   * With a threshold between two classes of similar value, all jobs of one of them would be
   * refused.
   */
  @Test
  void smallValueDifferencesHaveSmallEffect() {
    List<Workload> similar = List.of(new Workload("a", 5, 2.1, 4), new Workload("b", 5, 2, 4));
    Map<String, Double> admitted = admitted(similar, 0.5);
    assertThat(admitted.get("a") - admitted.get("b")).isAtMost(0.1);
  }

  /** Without overload, no job may be refused because of its value. */
  @Test
  void allJobsAreAdmittedWithoutOverload() {
    Map<String, Double> admitted = admitted(MIXED, 1);
    for (Workload workload : MIXED) {
      assertThat(admitted.get(workload.requestClass())).isWithin(1e-6).of(1);
    }
  }
}
