package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.marjoramhoist.decision.Policy;

/**
 * The scenarios of the policy bench.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Scenarios {

  private static final double ANY = Double.POSITIVE_INFINITY;
  private static final double STEADY_WASTE = 0.01;
  private static final double FAULT_WASTE = 0.05;
  private static final double FAIR = 0.95;
  private static final int WORKERS = 32;
  private static final int WORKERS_PER_RACK = 6;
  private static final int SLOTS = 8;
  private static final int TEAMS = 10;
  private static final long LOCAL_MICROS = 100;
  private static final long STORE_MICROS = 4_000;
  private static final long CALLER_MICROS = 3_000;
  private static final double JITTER = 0.2;

  private static final Scenario.Bounds STEADY = new Scenario.Bounds(ANY, ANY, STEADY_WASTE, FAIR);
  private static final Scenario.Bounds STEADY_80 = new Scenario.Bounds(1.2, 3, STEADY_WASTE, FAIR);
  private static final Scenario.Bounds FAULT = new Scenario.Bounds(ANY, ANY, FAULT_WASTE, FAIR);

  private Scenarios() {}

  /** Returns the fleet of a deployment: four domains with two hosts and eight workers each. */
  static FleetPlan fleet(long remoteMicros, DoubleUnaryOperator slowness) {
    List<String> domains = List.of("d0", "d1", "d2", "d3");
    List<FleetPlan.WorkerPlan> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      String domain = domains.get(i % domains.size());
      String rack = domain + "-r" + i / domains.size() / WORKERS_PER_RACK;
      workers.add(
          new FleetPlan.WorkerPlan("w" + i, domain, rack, SLOTS, slowness.applyAsDouble(i)));
    }
    return new FleetPlan(
        domains, 2, workers, LOCAL_MICROS, remoteMicros, CALLER_MICROS, STORE_MICROS, JITTER);
  }

  private static Scenario steady(String name, FleetPlan plan, double load, Scenario.Bounds bounds) {
    return new Scenario(name, plan, load, 1, TEAMS, 0, 3, 0, 0, 20_000, f -> {}, bounds);
  }

  private static Scenario faulty(String name, double load, Consumer<VirtualFleet> fault) {
    FleetPlan plan = fleet(500, i -> 1);
    return new Scenario(name, plan, load, 1, TEAMS, 0, 3, 0, 0, 20_000, fault, FAULT);
  }

  private static void later(VirtualFleet fleet, double seconds, Runnable change) {
    fleet.at(fleet.now() + (long) (seconds * Policy.MICROS_PER_SECOND), change);
  }

  /** Returns all scenarios. */
  static List<Scenario> all() {
    FleetPlan bank = fleet(500, i -> 1);
    FleetPlan agency = fleet(1_400, i -> 1);
    FleetPlan mixed = fleet(500, i -> 1 + 3.0 * (i / 4) / 7);
    List<Scenario> all = new ArrayList<>();
    all.add(steady("fjordkreditt 50%", bank, 0.5, STEADY));
    all.add(steady("fjordkreditt 80%", bank, 0.8, STEADY_80));
    all.add(steady("fjordkreditt 95%", bank, 0.95, STEADY));
    all.add(steady("agency 50%", agency, 0.5, STEADY));
    all.add(steady("agency 80%", agency, 0.8, STEADY_80));
    all.add(steady("agency 95%", agency, 0.95, STEADY));
    all.add(
        new Scenario("burst 5x for 2 s", bank, 0.4, 5, TEAMS, 0, 3, 0, 0, 20_000, f -> {}, FAULT));
    all.add(steady("speeds 1x to 4x", mixed, 0.7, STEADY));
    all.add(
        new Scenario(
            "declared sizes off 10x",
            bank,
            0.8,
            1,
            TEAMS,
            0,
            10,
            0,
            0,
            20_000,
            f -> {},
            STEADY_80));
    all.add(
        faulty(
            "straggling rack",
            0.6,
            f -> {
              for (int i = 0; i < 24; i += 4) {
                f.worker("w" + i).setSlowness(5);
              }
            }));
    all.add(faulty("worker fails everything", 0.5, f -> f.worker("w0").setFailAll(true)));
    all.add(
        faulty(
            "leaving wave",
            0.5,
            f -> {
              for (int i = 0; i < 8; i++) {
                f.worker("w" + i).setLeaving(true);
              }
            }));
    all.add(faulty("host dies", 0.5, f -> f.kill(0)));
    all.add(
        faulty(
            "domain cut off for 5 s",
            0.5,
            f -> {
              f.isolate("d0", true);
              later(f, 5, () -> f.isolate("d0", false));
            }));
    all.add(
        faulty(
            "silent connections",
            0.5,
            f -> {
              f.worker("w1").setSilent(true);
              later(f, 1, () -> f.worker("w1").setSilent(false));
            }));
    all.add(
        new Scenario(
            "cancellation wave", bank, 0.8, 1, TEAMS, 0, 3, 0, 0.5, 20_000, f -> {}, FAULT));
    all.add(
        new Scenario(
            "jobs that can never run", bank, 0.6, 1, TEAMS, 0, 3, 0.2, 0, 20_000, f -> {}, STEADY));
    all.add(new Scenario("greedy team of 77", bank, 0.5, 1, 77, 1, 3, 0, 0, 4_000, f -> {}, FAULT));
    return all;
  }
}
