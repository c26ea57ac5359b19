package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.decision.HostCore;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskId;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.model.TeamId;

/** Small fleets and jobs for tests. */
final class Fleets {

  static final long MILLI = Policy.MICROS_PER_MILLI;
  static final long SECOND = Policy.MICROS_PER_SECOND;

  private Fleets() {}

  static FleetPlan plan(int domains, int hostsPerDomain, int workersPerDomain) {
    List<String> names = new ArrayList<>();
    List<FleetPlan.WorkerPlan> workers = new ArrayList<>();
    for (int d = 0; d < domains; d++) {
      String domain = "d" + d;
      names.add(domain);
      for (int w = 0; w < workersPerDomain; w++) {
        workers.add(
            new FleetPlan.WorkerPlan(domain + "-w" + w, domain, domain + "-r" + w / 2, 4, 1));
      }
    }
    return new FleetPlan(names, hostsPerDomain, workers, 100, 500, 1 * MILLI, 4 * MILLI, 0.5);
  }

  /** A fleet with one shard for each domain and its declarations in force. */
  static VirtualFleet ready(FleetPlan plan, long seed) {
    VirtualFleet fleet =
        new VirtualFleet(
            plan,
            seed,
            (policy, settled) -> new HostCore(policy.withShardsPerDomain(1), settled)::step);
    fleet.declare(Declared.of(plan));
    fleet.runUntil(VirtualFleet.START + 4 * SECOND);
    return fleet;
  }

  /** A fleet with the workers of {@link DispatchLoad} and a leader that knows them. */
  static DispatchFleet dispatching(long seed) {
    return dispatching(seed, DispatchFleet.POLICY);
  }

  /** The same fleet with a leader of another policy. */
  static DispatchFleet dispatching(long seed, DispatchPolicy policy) {
    DispatchFleet fleet = new DispatchFleet(seed, policy);
    DispatchLoad.addWorkers(fleet);
    fleet.elect();
    fleet.runFor(SECOND);
    return fleet;
  }

  /** Returns the answer to a request; null if there is none yet. */
  static JobAnswer answer(VirtualFleet fleet, long request) {
    return fleet.history().answers().stream()
        .filter(a -> a.number() == request)
        .map(History.Answer::answer)
        .findFirst()
        .orElse(null);
  }

  static JobSpec job(String id, long now, long deadlineMillis, int tasks, String payload) {
    return job(id, now, deadlineMillis, tasks, payload, false);
  }

  static JobSpec job(
      String id, long now, long deadlineMillis, int tasks, String payload, boolean idempotent) {
    List<TaskSpec> list = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      list.add(new TaskSpec(new TaskId("t" + i), payload, 0, idempotent));
    }
    return new JobSpec(
        new SubmissionId(id),
        new TeamId("team-0"),
        "test",
        new ClassId("class-0"),
        now / MILLI + deadlineMillis,
        list,
        id + tasks + payload);
  }
}
