package org.marjoramhoist.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Outcome;

/**
 * A worker in virtual time: a fake of the worker protocol with slots, leases and faults.
 *
 * <p>Confined to one thread.
 */
final class VirtualWorker {

  private static final long FAIL_MICROS = 1_000;

  private static final class Run {
    private Outcome end;
    private long lease;
    private boolean cancelled;
  }

  private final FleetPlan.WorkerPlan plan;
  private final VirtualTime time;
  private final History history;
  private Map<String, Run> runs = new HashMap<>();
  private int running;
  private int generation;
  private boolean down;
  private boolean failAll;
  private boolean leaving;
  private boolean silent;
  private double slowness;

  VirtualWorker(FleetPlan.WorkerPlan plan, VirtualTime time, History history) {
    this.plan = plan;
    this.time = time;
    this.history = history;
    this.slowness = plan.slowness();
  }

  FleetPlan.WorkerPlan plan() {
    return plan;
  }

  boolean isDown() {
    return down;
  }

  void setFailAll(boolean on) {
    failAll = on;
  }

  void setLeaving(boolean on) {
    leaving = on;
  }

  /** Makes connections that carry attempts go silent; new ones still answer questions. */
  void setSilent(boolean on) {
    silent = on;
  }

  void setSlowness(double factor) {
    slowness = factor;
  }

  /** Ends the process: what ran is lost, and so is what it knew. */
  void kill() {
    down = true;
    generation++;
    runs.forEach(
        (id, run) -> {
          if (run.end == null) {
            history.ended(id, time.now());
          }
        });
    runs = new HashMap<>();
    running = 0;
  }

  void restart() {
    down = false;
  }

  /**
   * Takes an attempt.
   *
   * @param reply takes what becomes of it; a later reply may be lost with the worker
   */
  void start(Action.Start start, Consumer<Outcome> reply) {
    String id = start.attempt().value();
    if (leaving) {
      refuse(reply, "leaving", true);
    } else if (start.leaseDeadline() <= time.now()) {
      refuse(reply, "the lease has lapsed", false);
    } else if (running >= plan.slots()) {
      refuse(reply, "no free slot", false);
    } else if (runs.containsKey(id)) {
      refuse(reply, "the attempt was barred or is known", false);
    } else {
      run(start, id, reply);
    }
  }

  private void refuse(Consumer<Outcome> reply, String reason, boolean isLeaving) {
    history.count("refused");
    reply.accept(new Outcome.NotStarted(reason, isLeaving));
  }

  private void run(Action.Start start, String id, Consumer<Outcome> reply) {
    Run run = new Run();
    run.lease = start.leaseDeadline();
    runs.put(id, run);
    running++;
    history.start(
        new History.Start(
            time.now(), start.job().id().value(), start.task().id(), plan.name(), id));
    boolean fails = failAll || start.task().payload().startsWith("fail");
    long size = fails ? FAIL_MICROS : Long.parseLong(start.task().payload());
    long micros = fails ? FAIL_MICROS : (long) (size * slowness);
    int startedIn = generation;
    time.after(
        micros,
        () -> {
          if (generation == startedIn) {
            end(id, run, fails, micros, reply);
          }
        });
  }

  private void end(String id, Run run, boolean fails, long micros, Consumer<Outcome> reply) {
    running--;
    history.ended(id, time.now());
    if (run.cancelled) {
      run.end = new Outcome.Failed("cancelled", micros);
    } else if (fails) {
      run.end = new Outcome.Failed("told to fail", micros);
    } else if (time.now() > run.lease) {
      run.end = new Outcome.Failed("the lease lapsed", micros);
    } else {
      run.end = new Outcome.Succeeded("done", micros);
    }
    if (!silent) {
      reply.accept(run.end);
    }
  }

  /** Answers a question about an attempt, and bars one that was never received. */
  Outcome settle(Action.Settle question, long bootTime) {
    Run run = runs.get(question.attempt().value());
    if (run == null) {
      Run barred = new Run();
      barred.end = new Outcome.NotStarted("never received", leaving);
      runs.put(question.attempt().value(), barred);
      return bootTime > question.startedAt() ? new Outcome.Forgotten() : barred.end;
    }
    if (run.end != null) {
      return run.end;
    }
    run.lease = Math.max(run.lease, question.leaseDeadline());
    return new Outcome.Running();
  }

  void cancel(String attempt) {
    Run run = runs.get(attempt);
    if (run != null) {
      run.cancelled = true;
    }
  }
}
