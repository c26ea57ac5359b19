package org.marjoramhoist.experiment;

import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import java.util.SplittableRandom;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobId;

/** Random disturbances of a fleet's workers, of what they say, and of its leader. */
final class Disturbances {

  private Disturbances() {}

  static void disturb(DispatchFleet fleet, SplittableRandom random) {
    List<LeasedWorker> workers = fleet.workers();
    LeasedWorker one = workers.get(random.nextInt(workers.size()));
    switch (random.nextInt(12)) {
      case 0 -> one.crash();
      case 1 -> {
        one.cutOff = true;
        fleet.time().after(random.nextLong(3 * SECOND), () -> one.cutOff = false);
      }
      case 2 -> fleet.setLateOrders(random.nextDouble(0.1));
      case 3 -> fleet.setLostAnswers(random.nextDouble(0.1));
      case 4 -> fleet.elect();
      case 5 -> fleet.electBesidePausedLeader(random.nextLong(2 * SECOND));
      case 6 -> fleet.pauseLeader(random.nextLong(2 * SECOND));
      case 7 -> {
        one.unhealthy = true;
        fleet.time().after(SECOND, () -> one.unhealthy = false);
      }
      case 8 -> {
        one.failsAll = true;
        fleet.time().after(SECOND, () -> one.failsAll = false);
      }
      case 9 -> one.setInfo(draining(one.info()));
      case 10 -> {
        List<JobId> ended = List.copyOf(fleet.ends().keySet());
        if (!ended.isEmpty()) {
          fleet.resubmit(ended.get(ended.size() - 1));
        }
      }
      default -> one.setSlowness(random.nextDouble(0.3, 4));
    }
  }

  /** Makes the entries of some workers lapse for a time, as if the store had not heard them. */
  static void lapseEntries(DispatchFleet fleet, SplittableRandom random) {
    double share = random.nextDouble(0.5);
    for (LeasedWorker worker : fleet.workers()) {
      if (random.nextDouble() < share) {
        worker.unlisted = true;
        fleet.time().after(random.nextLong(3 * SECOND), () -> worker.unlisted = false);
      }
    }
  }

  /** Ends what would last for ever: lost messages, and parts of the fleet out of reach. */
  static void end(DispatchFleet fleet) {
    fleet.setLateOrders(0);
    fleet.setLostAnswers(0);
    fleet.setStoreDown(false);
    fleet.workers().forEach(worker -> worker.cutOff = false);
    fleet.workers().forEach(worker -> worker.unlisted = false);
  }

  private static WorkerInfo draining(WorkerInfo info) {
    return new WorkerInfo(
        info.id(),
        info.upstream(),
        info.address(),
        info.failureDomain(),
        info.capacity(),
        info.kind(),
        info.rack(),
        info.labels(),
        !info.draining(),
        info.bornMillis());
  }

  /** Disturbs a fleet again and again until a time, and then ends what it has disturbed. */
  static void disturbUntil(long end, DispatchFleet fleet, SplittableRandom random) {
    while (fleet.time().now() < end) {
      fleet.runFor(random.nextLong(50_000, 700_000));
      disturb(fleet, random);
    }
    end(fleet);
  }
}
