package org.marjoramhoist.dispatch;

/** Runs {@link WorkerSelectorCostTest} with placement by slack. */
class SlackPlacementStrategyCostTest extends WorkerSelectorCostTest {

  SlackPlacementStrategyCostTest() {
    policy =
        POLICY.withScheduling(
            SchedulingPolicy.DEFAULT.withPlacement(SchedulingPolicy.Placement.SLACK));
    beginTerm(now);
  }
}
