package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.marjoramhoist.experiment.Fleets.MILLI;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.marjoramhoist.model.JobSpec;

/** Random histories of hosts, workers and store under faults, checked against the invariants. */
class HistoryTest {

  private static final int DOMAINS = 2;
  private static final int HOSTS_PER_DOMAIN = 2;
  private static final int HOSTS = DOMAINS * HOSTS_PER_DOMAIN;
  private static final int WORKERS_PER_DOMAIN = 2;
  private static final int SUBMISSIONS = 4;

  enum Kind {
    SUBMIT,
    SUBMIT_AGAIN,
    KILL,
    RESTART,
    PAUSE,
    CUT,
    HEAL,
    FLAP,
    STORE_DOWN,
    STORE_UP,
    LOSE_REPLY,
    KILL_WORKER,
    RESTART_WORKER,
    SILENT_WORKER,
    FAIL_WORKER,
    LEAVE_WORKER,
    ISOLATE,
    REJOIN,
    DECLARE,
    DRAIN,
    WAIT
  }

  record Step(Kind kind, int a, int b, long gapMillis) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequency(
            net.jqwik.api.Tuple.of(8, Kind.SUBMIT),
            net.jqwik.api.Tuple.of(8, Kind.SUBMIT_AGAIN),
            net.jqwik.api.Tuple.of(3, Kind.KILL),
            net.jqwik.api.Tuple.of(3, Kind.RESTART),
            net.jqwik.api.Tuple.of(3, Kind.PAUSE),
            net.jqwik.api.Tuple.of(2, Kind.CUT),
            net.jqwik.api.Tuple.of(2, Kind.HEAL),
            net.jqwik.api.Tuple.of(2, Kind.FLAP),
            net.jqwik.api.Tuple.of(2, Kind.STORE_DOWN),
            net.jqwik.api.Tuple.of(2, Kind.STORE_UP),
            net.jqwik.api.Tuple.of(3, Kind.LOSE_REPLY),
            net.jqwik.api.Tuple.of(2, Kind.KILL_WORKER),
            net.jqwik.api.Tuple.of(2, Kind.RESTART_WORKER),
            net.jqwik.api.Tuple.of(1, Kind.SILENT_WORKER),
            net.jqwik.api.Tuple.of(1, Kind.FAIL_WORKER),
            net.jqwik.api.Tuple.of(1, Kind.LEAVE_WORKER),
            net.jqwik.api.Tuple.of(1, Kind.ISOLATE),
            net.jqwik.api.Tuple.of(1, Kind.REJOIN),
            net.jqwik.api.Tuple.of(2, Kind.DECLARE),
            net.jqwik.api.Tuple.of(1, Kind.DRAIN),
            net.jqwik.api.Tuple.of(5, Kind.WAIT));
    Arbitrary<Integer> small = Arbitraries.integers().between(0, HOSTS - 1);
    Arbitrary<Long> gaps =
        Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(3, Arbitraries.longs().between(0, 3)),
            net.jqwik.api.Tuple.of(3, Arbitraries.longs().between(0, 200)),
            net.jqwik.api.Tuple.of(2, Arbitraries.longs().between(500, 3_000)));
    return Combinators.combine(kinds, small, small, gaps)
        .as(Step::new)
        .list()
        .ofMinSize(3)
        .ofMaxSize(25);
  }

  @Property(
      tries = 5_000,
      seed = "20261204",
      generation = GenerationMode.RANDOMIZED,
      edgeCases = EdgeCasesMode.NONE)
  void holdsInvariantsWithoutIdempotence(@ForAll("steps") List<Step> steps) {
    check(steps, false, 1);
  }

  @Property(
      tries = 5_000,
      seed = "20261205",
      generation = GenerationMode.RANDOMIZED,
      edgeCases = EdgeCasesMode.NONE)
  void holdsInvariantsWithIdempotence(@ForAll("steps") List<Step> steps) {
    check(steps, true, 2);
  }

  private static void check(List<Step> steps, boolean idempotent, long seed) {
    FleetPlan plan = Fleets.plan(DOMAINS, HOSTS_PER_DOMAIN, WORKERS_PER_DOMAIN);
    VirtualFleet fleet = Fleets.ready(plan, seed);
    new Run(fleet, plan, idempotent).play(steps);
    List<String> breaches = Invariants.breaches(fleet.history());
    assertWithMessage("%s", steps).that(breaches).isEmpty();
  }

  /** Plays steps on a fleet, then lets everything recover. */
  private static final class Run {
    private final VirtualFleet fleet;
    private final FleetPlan plan;
    private final boolean idempotent;
    private final JobSpec[] jobs = new JobSpec[SUBMISSIONS];
    private final boolean[] dead = new boolean[HOSTS];

    Run(VirtualFleet fleet, FleetPlan plan, boolean idempotent) {
      this.fleet = fleet;
      this.plan = plan;
      this.idempotent = idempotent;
    }

    void play(List<Step> steps) {
      for (Step step : steps) {
        fleet.runUntil(fleet.now() + step.gapMillis * MILLI);
        play(step);
      }
      recover();
    }

    private void play(Step step) {
      String worker = "d" + step.a % DOMAINS + "-w" + step.b % WORKERS_PER_DOMAIN;
      switch (step.kind) {
        case SUBMIT -> submit(step.a, step.b);
        case SUBMIT_AGAIN -> submitAgain(step.a, step.b);
        case KILL -> kill(step.a);
        case RESTART -> restart(step.a);
        case PAUSE -> fleet.pause(step.a, (step.b + 1) * SECOND);
        case CUT -> fleet.cut(step.a, step.b);
        case HEAL -> fleet.heal(step.a, step.b);
        case FLAP -> fleet.flap(step.a, step.b);
        case STORE_DOWN -> fleet.setStoreDown(true);
        case STORE_UP -> fleet.setStoreDown(false);
        case LOSE_REPLY -> fleet.loseStoreReplies(step.b + 1);
        case KILL_WORKER -> fleet.killWorker(worker);
        case RESTART_WORKER -> fleet.restartWorker(worker);
        case SILENT_WORKER -> fleet.worker(worker).setSilent(step.gapMillis % 2 == 0);
        case FAIL_WORKER -> fleet.worker(worker).setFailAll(step.gapMillis % 2 == 0);
        case LEAVE_WORKER -> fleet.worker(worker).setLeaving(step.gapMillis % 2 == 0);
        case ISOLATE -> fleet.isolate("d" + step.a % DOMAINS, true);
        case REJOIN -> fleet.isolate("d" + step.a % DOMAINS, false);
        case DECLARE -> declare();
        case DRAIN -> fleet.drain(step.a);
        default -> fleet.runUntil(fleet.now() + SECOND);
      }
    }

    private void submit(int host, int slot) {
      String home = slot % 2 == 0 ? "d" + host % DOMAINS + "~" : "";
      String id = home + "job-" + slot + "-" + fleet.now();
      String payload = String.valueOf((slot * 150 + 20) * MILLI);
      jobs[slot] = Fleets.job(id, fleet.now(), 5_000, 2, payload, idempotent);
      fleet.submit(host, jobs[slot]);
    }

    private void submitAgain(int host, int slot) {
      if (jobs[slot] != null) {
        fleet.submit(host, jobs[slot]);
      }
    }

    private void kill(int host) {
      if (!dead[host]) {
        dead[host] = true;
        fleet.kill(host);
      }
    }

    private void restart(int host) {
      if (!dead[host]) {
        fleet.kill(host);
      }
      dead[host] = false;
      fleet.restart(host);
    }

    private void declare() {
      if (!fleet.store().isDown()) {
        fleet.declare(Declared.of(plan));
      }
    }

    private void recover() {
      fleet.setStoreDown(false);
      for (int i = 0; i < HOSTS; i++) {
        if (dead[i]) {
          fleet.restart(i);
        }
        for (int j = 0; j < HOSTS; j++) {
          fleet.heal(i, j);
        }
      }
      for (String domain : plan.domains()) {
        fleet.cutFromStore(domain, false);
      }
      for (int slot = 0; slot < SUBMISSIONS; slot++) {
        submitAgain(slot % HOSTS, slot);
      }
      fleet.runUntil(fleet.now() + 8 * SECOND);
      for (int slot = 0; slot < SUBMISSIONS; slot++) {
        submitAgain((slot + 1) % HOSTS, slot);
      }
      fleet.runUntil(fleet.now() + SECOND);
    }
  }
}
