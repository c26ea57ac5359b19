package org.marjoramhoist.dispatch;

/** Runs {@link PlacementCostTest} with placement by slack. */
class SlackPlacementCostTest extends PlacementCostTest {

  SlackPlacementCostTest() {
    policy =
        POLICY.withScheduling(
            SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK));
    beginTerm(now);
  }
}
