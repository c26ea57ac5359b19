package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.marjoramhoist.decision.HostCore;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.JobSpec;

/**
 * Runs every scenario with the product's decisions and with plain dispatchers, and compares.
 *
 * <p>Deterministic: the same seed gives the same table. Confined to one thread.
 */
public final class PolicyBench {

  private static final long WARM_UP = 4 * Policy.MICROS_PER_SECOND;
  private static final long MEASURED = 16 * Policy.MICROS_PER_SECOND;
  private static final long COOL_DOWN = 21 * Policy.MICROS_PER_SECOND;
  private static final long FAULT_AT = 6 * Policy.MICROS_PER_SECOND;
  private static final long BURST_FROM = 2 * Policy.MICROS_PER_SECOND;
  private static final long BURST_TO = 4 * Policy.MICROS_PER_SECOND;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final String PRODUCT = "marjoramhoist";
  private static final String HEADER =
      String.format(
          Locale.ROOT,
          "%-24s %-14s %6s %6s %7s %7s %6s %6s %6s %6s %6s %7s %7s %6s %6s",
          "scenario",
          "policy",
          "p50",
          "p99",
          "waste",
          "refused",
          "repeat",
          "late",
          "probe",
          "cancel",
          "jobs",
          "refusal",
          "failed",
          "missed",
          "fair");

  private final long seed;

  /** Creates a bench whose random choices follow from the seed. */
  public PolicyBench(long seed) {
    this.seed = seed;
  }

  /** The figures of one scenario with one policy. */
  record Figures(
      double p50,
      double p99,
      double refused,
      double repeated,
      double late,
      double probes,
      double cancels,
      int jobs,
      int refusals,
      int failures,
      int missed,
      double fairness,
      List<String> breaches) {

    double waste() {
      return refused + repeated + late + probes + cancels;
    }
  }

  /** A caller's job and the answer it got. */
  private record Outcome(JobSpec job, History.Request request, History.Answer answer) {}

  private static Map<String, BiFunction<Policy, Long, VirtualFleet.Decisions>> policies() {
    Map<String, BiFunction<Policy, Long, VirtualFleet.Decisions>> all = new LinkedHashMap<>();
    all.put(PRODUCT, (policy, settled) -> new HostCore(policy, settled)::step);
    all.put("random", (p, s) -> new BaselineDecisions(p, BaselineDecisions.RANDOM));
    all.put("round robin", (p, s) -> new BaselineDecisions(p, BaselineDecisions.ROUND_ROBIN));
    all.put("two choices", (p, s) -> new BaselineDecisions(p, BaselineDecisions.TWO_CHOICES));
    return all;
  }

  /**
   * Runs the bench and prints its table.
   *
   * @param only part of the names of the scenarios to run; empty for all
   * @param alone whether the plain dispatchers are left out
   * @return the bounds that were missed, in words
   */
  public List<String> run(String only, boolean alone) {
    List<String> missed = new ArrayList<>();
    System.out.println(HEADER);
    for (Scenario scenario : Scenarios.all()) {
      if (!scenario.name().contains(only)) {
        continue;
      }
      Map<String, Figures> byPolicy = new LinkedHashMap<>();
      policies()
          .forEach(
              (name, maker) -> {
                if (alone && !name.equals(PRODUCT)) {
                  return;
                }
                long claim = name.equals(PRODUCT) ? 0 : claimMicros(scenario.plan());
                Figures figures = measure(scenario, maker, claim);
                byPolicy.put(name, figures);
                System.out.println(row(scenario.name(), name, figures));
              });
      missed.addAll(Verdicts.of(scenario, byPolicy, PRODUCT));
    }
    return missed;
  }

  /** Returns the mean time of a claim within the domain: to the owner, its standby, and back. */
  private static long claimMicros(FleetPlan plan) {
    return (long) (4 * plan.localMicros() * (1 + plan.jitter() / 2));
  }

  private Figures measure(
      Scenario scenario, BiFunction<Policy, Long, VirtualFleet.Decisions> maker, long claimMicros) {
    VirtualFleet fleet = new VirtualFleet(scenario.plan(), seed, maker);
    fleet.setSubmitDelay(claimMicros);
    fleet.declare(Declared.of(scenario.plan(), scenario.teams()));
    fleet.runUntil(VirtualFleet.START + WARM_UP);
    Offering offering = new Offering(scenario, fleet, seed);
    offering.start();
    fleet.at(fleet.now() + FAULT_AT, () -> scenario.fault().accept(fleet));
    fleet.runUntil(fleet.now() + MEASURED + COOL_DOWN);
    return figures(scenario, fleet);
  }

  /** Offers jobs to the hosts of a fleet, as the balancer spreads them. */
  private static final class Offering {
    private final Scenario scenario;
    private final VirtualFleet fleet;
    private final Workload workload;
    private final long end;
    private final long begin;
    private final double jobsPerSecond;
    private long number;

    Offering(Scenario scenario, VirtualFleet fleet, long seed) {
      this.scenario = scenario;
      this.fleet = fleet;
      this.workload = new Workload(seed);
      this.begin = fleet.now();
      this.end = begin + MEASURED;
      double work = Workload.MEAN_TASKS * Workload.meanMillis() / MILLIS_PER_SECOND;
      this.jobsPerSecond = scenario.plan().capacity() / work;
    }

    void start() {
      next(scenario.load(), false);
      if (scenario.greedyLoad() > 0) {
        next(scenario.greedyLoad(), true);
      }
    }

    private void next(double load, boolean greedy) {
      long since = fleet.now() - begin;
      boolean burst = since >= BURST_FROM && since < BURST_TO;
      double rate = jobsPerSecond * load * (burst ? scenario.burst() : 1);
      long at = fleet.now() + workload.gap(rate);
      if (at < end) {
        fleet.at(
            at,
            () -> {
              submit(greedy);
              next(load, greedy);
            });
      }
    }

    private void submit(boolean greedy) {
      int team = greedy ? 0 : (int) (number % scenario.teams());
      boolean never = workload.random().nextDouble() < scenario.neverPart();
      int host = liveHost();
      JobSpec job =
          workload.job(
              fleet.domainOf(host) + "~job-" + number,
              "team-" + team,
              never ? "class-never" : "class-0",
              fleet.now(),
              scenario.deadlineMillis(),
              scenario.declaredError());
      number++;
      fleet.submit(host, job);
      boolean before = fleet.now() < begin + FAULT_AT;
      if (before && workload.random().nextDouble() < scenario.cancelPart()) {
        fleet.at(begin + FAULT_AT, () -> fleet.cancel(host, job.id(), job.team()));
      }
    }

    /** The balancer passes over hosts whose process has ended. */
    private int liveHost() {
      int host = workload.random().nextInt(fleet.hostCount());
      while (!fleet.isRunning(host)) {
        host = (host + 1) % fleet.hostCount();
      }
      return host;
    }
  }

  private static Figures figures(Scenario scenario, VirtualFleet fleet) {
    History history = fleet.history();
    Map<Long, History.Answer> answers = new HashMap<>();
    history.answers().forEach(answer -> answers.putIfAbsent(answer.number(), answer));
    List<Outcome> outcomes = new ArrayList<>();
    int tasks = 0;
    for (History.Request request : history.requests().values()) {
      outcomes.add(new Outcome(request.job(), request, answers.get(request.number())));
      tasks += request.job().tasks().size();
    }
    double[] slowdowns =
        outcomes.stream()
            .filter(o -> o.answer != null && o.answer.answer().isComplete())
            .mapToDouble(o -> slowdown(o, scenario.plan()))
            .sorted()
            .toArray();
    double perTask = 1.0 / Math.max(1, tasks);
    return new Figures(
        percentile(slowdowns, 0.5),
        percentile(slowdowns, 0.99),
        history.messages("refused") * perTask,
        repeated(history) * perTask,
        late(history, answers) * perTask,
        history.messages("core.PROBE") * perTask,
        history.messages("cancel") * perTask,
        outcomes.size(),
        count(outcomes, true),
        count(outcomes, false),
        missed(outcomes),
        fairness(scenario, outcomes),
        Invariants.breaches(history));
  }

  private static double slowdown(Outcome outcome, FleetPlan plan) {
    double response = outcome.answer.time() - outcome.request.time() + plan.callerMicros();
    return response / Ideal.of(outcome.job, plan);
  }

  private static double percentile(double[] sorted, double part) {
    if (sorted.length == 0) {
      return Double.NaN;
    }
    return sorted[(int) Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
  }

  private static long repeated(History history) {
    Map<String, Integer> starts = new HashMap<>();
    history
        .starts()
        .forEach(start -> starts.merge(start.submission() + "/" + start.task(), 1, Integer::sum));
    return starts.values().stream().mapToLong(count -> count - 1).sum();
  }

  /** Runs that ended after their job had been answered. */
  private static long late(History history, Map<Long, History.Answer> answers) {
    Map<String, Long> answered = new HashMap<>();
    answers.values().forEach(a -> answered.put(a.answer().id().value(), a.time()));
    return history.starts().stream()
        .filter(s -> history.endOf(s.attempt()) != Long.MAX_VALUE)
        .filter(
            s -> history.endOf(s.attempt()) > answered.getOrDefault(s.submission(), Long.MAX_VALUE))
        .count();
  }

  private static int count(List<Outcome> outcomes, boolean notRun) {
    int count = 0;
    for (Outcome outcome : outcomes) {
      if (outcome.answer == null) {
        count += notRun ? 0 : 1;
      } else if (!outcome.answer.answer().isComplete()) {
        boolean refused =
            outcome.answer.answer().runState() == org.marjoramhoist.model.RunState.NOT_RUN;
        count += refused == notRun ? 1 : 0;
      }
    }
    return count;
  }

  private static int missed(List<Outcome> outcomes) {
    return (int)
        outcomes.stream()
            .filter(
                o ->
                    o.answer == null
                        || o.answer.answer().error() == ErrorKind.DEADLINE_EXCEEDED
                        || o.answer.time() > o.job.deadlineMillis() * Policy.MICROS_PER_MILLI)
            .count();
  }

  /**
   * Jain's index of what each team got, as a part of the lesser of its demand and its fair share.
   */
  private static double fairness(Scenario scenario, List<Outcome> outcomes) {
    Map<String, double[]> byTeam = new TreeMap<>();
    for (Outcome outcome : outcomes) {
      if (outcome.job.classId().value().equals("class-never")) {
        continue;
      }
      double[] sums = byTeam.computeIfAbsent(outcome.job.team().value(), k -> new double[2]);
      double work =
          outcome.job.tasks().stream().mapToDouble(t -> Double.parseDouble(t.payload())).sum();
      sums[0] += work;
      boolean cancelled =
          outcome.answer != null && outcome.answer.answer().error() == ErrorKind.CANCELLED;
      if (outcome.answer != null && (outcome.answer.answer().isComplete() || cancelled)) {
        sums[1] += work;
      }
    }
    double fairShare = scenario.plan().capacity() * MEASURED / byTeam.size();
    double[] got =
        byTeam.values().stream()
            .mapToDouble(sums -> Math.min(1, sums[1] / Math.min(sums[0], fairShare)))
            .toArray();
    double sum = Arrays.stream(got).sum();
    double squares = Arrays.stream(got).map(x -> x * x).sum();
    return squares == 0 ? 0 : sum * sum / (got.length * squares);
  }

  private static String row(String scenario, String policy, Figures f) {
    return String.format(
        Locale.ROOT,
        "%-24s %-14s %6.2f %6.2f %7.4f %7.4f %6.4f %6.4f %6.4f %6.4f %6d %7d %7d %6d %6.3f",
        scenario,
        policy,
        f.p50,
        f.p99,
        f.waste(),
        f.refused,
        f.repeated,
        f.late,
        f.probes,
        f.cancels,
        f.jobs,
        f.refusals,
        f.failures,
        f.missed,
        f.fairness);
  }
}
