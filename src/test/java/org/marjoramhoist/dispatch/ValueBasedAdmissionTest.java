package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which jobs a host sends on to a leader that can't start all. */
class ValueBasedAdmissionTest {

  private record Offer(String requestClass, int perRound, double value, int tasks) {}

  /** The first customer's classes, with their jobs in some 170 ms at one host. */
  private static final List<Offer> MIXED =
      List.of(
          new Offer("short", 6, 4.85, 8),
          new Offer("long", 1, 26.7, 4),
          new Offer("plain", 16, 1.67, 2));

  private static final int ROUNDS = 400;
  private static final int SETTLED = 50;
  private static final long ROUND_MICROS = 170_000;

  private static Map<String, Double> admitted(List<Offer> offers, double share) {
    ValueBasedAdmission intake = new ValueBasedAdmission();
    Map<String, Double> admitted = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (Offer offer : offers) {
        for (int i = 0; i < offer.perRound(); i++) {
          boolean through =
              intake.admit(
                  offer.requestClass(), offer.value(), offer.tasks(), share, round * ROUND_MICROS);
          if (through && round >= SETTLED) {
            double part = 1.0 / offer.perRound() / (ROUNDS - SETTLED);
            admitted.merge(offer.requestClass(), part, Double::sum);
          }
        }
      }
    }
    return admitted;
  }

  private static double startsAdmitted(Map<String, Double> admitted) {
    double all = 0;
    double through = 0;
    for (Offer offer : MIXED) {
      all += offer.perRound() * offer.tasks();
      through +=
          offer.perRound() * offer.tasks() * admitted.getOrDefault(offer.requestClass(), 0.0);
    }
    return through / all;
  }

  /** Even dropping loses the few long jobs that are worth most as often as the others. */
  @Test
  void jobsWorthMostPerStartGoThrough() {
    Map<String, Double> admitted = admitted(MIXED, 0.5);
    assertThat(admitted.get("long")).isAtLeast(0.99);
    assertThat(admitted.get("plain")).isGreaterThan(admitted.get("short"));
  }

  /** More starts than that would overload the leader again; fewer would waste its capacity. */
  @Test
  void shareOfStartsIsThatWhichTheLeaderTakes() {
    for (double share : new double[] {0.1, 0.3, 0.5, 0.8, 0.95}) {
      assertThat(startsAdmitted(admitted(MIXED, share))).isWithin(0.02).of(share);
    }
  }

  /** A threshold alone would refuse all jobs of the least valuable class. */
  @Test
  void noClassIsShutOut() {
    for (Offer offer : MIXED) {
      assertThat(admitted(MIXED, 0.3).get(offer.requestClass())).isAtLeast(0.02);
    }
  }

  /** A tie must not be decided by the name of the class. */
  @Test
  void equalValuesGoThroughEvenly() {
    List<Offer> equal = List.of(new Offer("a", 7, 2, 4), new Offer("b", 3, 2, 4));
    Map<String, Double> admitted = admitted(equal, 0.4);
    assertThat(admitted.get("a")).isWithin(0.005).of(0.4);
    assertThat(admitted.get("b")).isWithin(0.005).of(0.4);
  }

  /** A threshold between two classes that are nearly alike would refuse all of one of them. */
  @Test
  void smallDifferencesInValueChangeLittle() {
    List<Offer> near = List.of(new Offer("a", 5, 2.1, 4), new Offer("b", 5, 2, 4));
    Map<String, Double> admitted = admitted(near, 0.5);
    assertThat(admitted.get("a") - admitted.get("b")).isAtMost(0.1);
  }

  /** Nothing may be refused by value without overload. */
  @Test
  void allGoThroughWhileTheLeaderTakesAll() {
    Map<String, Double> admitted = admitted(MIXED, 1);
    for (Offer offer : MIXED) {
      assertThat(admitted.get(offer.requestClass())).isWithin(1e-6).of(1);
    }
  }
}
