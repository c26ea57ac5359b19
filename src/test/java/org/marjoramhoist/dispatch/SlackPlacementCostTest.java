package org.marjoramhoist.dispatch;

/** The same cost where workers are chosen by the time that jobs have. */
class SlackPlacementCostTest extends PlacementCostTest {

  SlackPlacementCostTest() {
    policy =
        POLICY.withScheduling(
            SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK));
    beginTerm(now);
  }
}
