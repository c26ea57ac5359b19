package org.marjoramhoist.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.HostCore;
import org.marjoramhoist.decision.Outcome;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskId;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.model.TeamId;

/**
 * Measures the cost of a host's decisions by the number of workers and teams: time and memory for
 * each task from submission to answer, without any I/O.
 *
 * <p>Confined to one thread.
 */
public final class CoreBench {

  private static final int[] WORKERS = {32, 150, 1_500};
  private static final int[] TEAMS = {10, 77, 1_000};
  private static final int TASKS_PER_JOB = 20;
  private static final int SLOTS = 8;
  private static final int WARM_UP_JOBS = 4_000;
  private static final int JOBS = 20_000;
  private static final long RUN_MICROS = 200_000;
  private static final int QUEUED_JOBS = 2_000;
  private static final double NANOS_PER_MICRO = 1_000;

  private final HostCore core;
  private final Deque<Action.Start> running = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private final int teams;
  private long now = VirtualFleet.START;
  private long requests;
  private long ended;

  private CoreBench(int workers, int teams) {
    this.teams = teams;
    DomainId domain = new DomainId("d0");
    HostRef self = HostRef.parse("h/1");
    core = new HostCore(Policy.of(self, "127.0.0.1:1", domain, List.of(domain)), now);
    List<FleetPlan.WorkerPlan> plans = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      plans.add(new FleetPlan.WorkerPlan("w" + i, "d0", "r" + i / 6, SLOTS, 1));
    }
    FleetPlan plan = new FleetPlan(List.of("d0"), 1, plans, 100, 500, 3_000, 4_000, 0);
    step(new Event.ConfigSeen(-1, 1, Declared.of(plan, teams), List.of()));
  }

  private void step(Event event) {
    for (Action action : core.step(now, event)) {
      if (action instanceof Action.Start start) {
        running.add(start);
      } else if (action instanceof Action.WriteAccounts write) {
        core.step(now, new Event.AccountsWritten(write.seq(), true));
      } else if (action instanceof Action.Reply) {
        ended++;
      }
    }
  }

  private void submit() {
    SubmissionId id =
        org.marjoramhoist.decision.Tickets.issue(HostRef.parse("h/1"), requests, now + 60_000_000L);
    core.step(now, new Event.TicketAsked(requests));
    List<TaskSpec> tasks = new ArrayList<>(TASKS_PER_JOB);
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      tasks.add(new TaskSpec(new TaskId("t" + i), "", 200, true));
    }
    TeamId team = new TeamId("team-" + random.nextInt(teams));
    long deadlineMillis = now / Policy.MICROS_PER_MILLI + 50_000;
    step(
        new Event.Submitted(
            requests++,
            new JobSpec(id, team, "", new ClassId("class-0"), deadlineMillis, tasks, "d")));
  }

  /** Ends the oldest attempts until no more than a part of the slots is busy. */
  private void endSome(int most) {
    while (running.size() > most) {
      Action.Start start = running.poll();
      now += 10;
      step(new Event.AttemptEnded(start.attempt(), new Outcome.Succeeded("v", RUN_MICROS)));
    }
  }

  private void run(int jobs, int busy) {
    for (int i = 0; i < jobs; i++) {
      now += 50;
      submit();
      endSome(busy);
      if (i % 10 == 0) {
        step(new Event.Tick());
      }
    }
    endSome(0);
  }

  /** Measures each combination and prints a table. */
  public static void run() {
    System.out.println("workers  teams   us/task  tasks/s on one core  bytes/queued task");
    for (int workers : WORKERS) {
      for (int teams : TEAMS) {
        CoreBench bench = new CoreBench(workers, teams);
        int busy = workers * SLOTS * 3 / 4;
        bench.run(WARM_UP_JOBS, busy);
        long start = System.nanoTime();
        bench.run(JOBS, busy);
        double micros =
            (System.nanoTime() - start) / NANOS_PER_MICRO / ((double) JOBS * TASKS_PER_JOB);
        System.out.printf(
            Locale.ROOT,
            "%7d %6d %9.2f %20.0f %18d%n",
            workers,
            teams,
            micros,
            1e6 / micros,
            bench.bytesPerQueuedTask());
      }
    }
  }

  private long bytesPerQueuedTask() {
    long before = usedBytes();
    for (int i = 0; i < QUEUED_JOBS; i++) {
      submit();
    }
    long used = usedBytes() - before;
    return used / (QUEUED_JOBS * (long) TASKS_PER_JOB);
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
