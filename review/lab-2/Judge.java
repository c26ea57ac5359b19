import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Keeps what clients sent and were told and what workers ran, and checks the rules on jobs. */
final class Judge {

  /** A step of a job as sent. */
  record Step(int count, int cpu, int millis, double fails, List<Integer> after, String label, int max) {}

  static final class Job {
    final String id;
    final String spec;
    final List<Step> steps;
    final boolean bestEffort;
    final int attempts;
    volatile long acceptedAt;
    volatile long cancelSentAt;
    volatile long cancelAckedAt;
    volatile int posts;
    volatile int rejected;
    volatile String lastState = "";

    Job(String id, String spec, List<Step> steps, boolean bestEffort, int attempts) {
      this.id = id;
      this.spec = spec;
      this.steps = steps;
      this.bestEffort = bestEffort;
      this.attempts = attempts;
    }

    String body() {
      StringBuilder out = new StringBuilder("{\"spec\":" + Net.quote(spec) + ",\"steps\":[");
      for (int i = 0; i < steps.size(); i++) {
        Step s = steps.get(i);
        out.append(i == 0 ? "" : ",").append("{\"count\":" + s.count() + ",\"cpu\":" + s.cpu() + ",\"memMb\":64,\"estimateMs\":" + s.millis());
        if (!s.after().isEmpty()) {
          out.append(",\"after\":" + s.after());
        }
        if (!s.label().isEmpty()) {
          out.append(",\"requiredLabel\":" + Net.quote(s.label()));
        }
        if (s.max() > 0) {
          out.append(",\"maxPerServer\":" + s.max());
        }
        out.append("}");
      }
      return out + "]" + (bestEffort ? ",\"bestEffort\":true" : "") + "}";
    }
  }

  static final class Run {
    final String task;
    final int number;
    final String worker;
    final long born;
    final long startedAt;
    volatile long endedAt;
    volatile String how = "";
    volatile long notedAt;
    volatile boolean inTouch;

    Run(String task, int number, String worker, long born) {
      this.task = task;
      this.number = number;
      this.worker = worker;
      this.born = born;
      this.startedAt = now();
    }

    @Override
    public String toString() {
      return task + "#" + number + "@" + worker + "/" + born + " " + startedAt + ".." + endedAt + " " + how + " noted=" + notedAt;
    }
  }

  private static final long START = System.nanoTime();
  final Map<String, Job> jobs = new LinkedHashMap<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<String> record = new ArrayList<>();
  final List<String> broken = new ArrayList<>();

  /** Milliseconds since the start. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  synchronized void log(String text) {
    record.add(String.format("%7d %s", now(), text));
  }

  synchronized void add(Job job) {
    jobs.put(job.id, job);
  }

  synchronized void breaks(String rule, String text) {
    broken.add(rule + ": " + text);
    record.add(String.format("%7d BROKEN %s: %s", now(), rule, text));
  }

  /** When a host was last killed, stopped, frozen or started, by name. */
  final Map<String, Long> disturbedAt = new java.util.concurrent.ConcurrentHashMap<>();

  /** Tells whether a host is in touch, as far as its own process goes: undisturbed for `settleWindowMs`. */
  private boolean inTouch(String host) {
    return disturbedAt.containsKey(host) && now() - disturbedAt.get(host) > 3000;
  }

  synchronized Run started(String task, int number, String worker, long born, String labels, String spec, int here, String leader) {
    Run run = new Run(task, number, worker, born);
    runs.add(run);
    record.add(String.format("%7d start %s#%d on %s (life %d, %s)", now(), task, number, worker, born, labels));
    String[] parts = task.split("\\.");
    Job job = jobs.get(parts[0]);
    if (job == null) {
      breaks("UNASKED", "start of " + task + " of no job");
      return run;
    }
    if (!job.spec.equals(spec)) {
      breaks("UNASKED", "another spec for " + task);
    }
    Step step = job.steps.get(Integer.parseInt(parts[2]));
    if (!step.label().isEmpty() && !List.of(labels.split(" ")).contains(step.label())) {
      breaks("ROUTE", task + "#" + number + " needs label " + step.label() + " and was started on " + worker + " with labels " + labels);
    }
    if (step.max() > 0 && here > step.max()) {
      breaks("ROUTE", task + "#" + number + " is number " + here + " of its step on " + worker + ", allowed " + step.max());
    }
    if (job.cancelAckedAt > 0 && now() - job.cancelAckedAt > 3000) {
      breaks("UNASKED", task + "#" + number + " started " + (now() - job.cancelAckedAt) + " ms after its cancel was acknowledged");
    }
    int failed = 0;
    for (Run other : runs) {
      if (other == run || !other.task.equals(task)) {
        continue;
      }
      if (other.endedAt == 0) {
        breaks("TWICE", "at the same time: " + other + " and " + run);
      }
      if (other.how.equals("failed") && other.notedAt > 0) {
        failed++;
      }
    }
    if (failed >= job.attempts && !job.bestEffort) {
      breaks("BUDGET", task + "#" + number + " started after " + failed + " failed runs");
    }
    List<Run> crashed = runs.stream().filter(r -> r.task.equals(task) && r.how.equals("crashed")).toList();
    if (crashed.stream().map(r -> r.worker).distinct().count() >= 3) {
      long third = crashed.get(2).endedAt;
      run.inTouch = inTouch(leader);
      long since = runs.stream().filter(r -> r.task.equals(task) && r.startedAt >= third && r.inTouch).count();
      if (run.inTouch && since >= 3) {
        breaks("BUDGET", task + "#" + number + " is start " + since + " after three workers have crashed under it, by machines in touch (" + leader + ")");
      }
    }
    for (int before : step.after()) {
      for (int i = 0; i < job.steps.get(before).count(); i++) {
        String needed = parts[0] + ".0." + before + "." + i;
        if (runs.stream().noneMatch(r -> r.task.equals(needed) && r.how.equals("done"))) {
          breaks("ORDER", task + " started before " + needed + " is done");
        }
      }
    }
    return run;
  }

  synchronized void ended(Run run, String how) {
    run.endedAt = Math.max(1, now());
    run.how = how;
    record.add(String.format("%7d end %s#%d on %s: %s", now(), run.task, run.number, run.worker, how));
  }

  synchronized void noted(Run run, boolean lapsed) {
    if (!lapsed && run.notedAt == 0) {
      run.notedAt = now();
    }
  }

  synchronized void shown(Job job, String state) {
    job.lastState = state;
    if (!state.equals("succeeded")) {
      return;
    }
    for (int s = 0; s < job.steps.size(); s++) {
      for (int i = 0; i < job.steps.get(s).count(); i++) {
        String task = job.id + ".0." + s + "." + i;
        if (runs.stream().noneMatch(r -> r.task.equals(task) && r.how.equals("done"))) {
          breaks("MIXED", job.id + " is shown as succeeded and " + task + " is not done");
        }
      }
    }
  }

  /** Checks what can be told only at the end. */
  synchronized void checkAll() {
    for (Run first : runs) {
      Job job = jobs.get(first.task.split("\\.")[0]);
      if (job == null || job.bestEffort || !first.how.equals("done") || first.notedAt == 0) {
        continue;
      }
      for (Run other : runs) {
        if (other != first && other.task.equals(first.task) && other.startedAt > first.endedAt) {
          breaks("TWICE", "after done: " + first + " and " + other);
        }
      }
    }
    for (Job job : jobs.values()) {
      boolean ran = runs.stream().anyMatch(r -> r.task.startsWith(job.id));
      if (ran && job.posts > 0 && job.rejected == job.posts) {
        breaks("REFUSED", job.id + " ran and all its " + job.posts + " posts were rejected");
      }
      if (job.lastState.equals("failed") && !job.bestEffort) {
        Map<String, Integer> failed = new TreeMap<>();
        runs.stream().filter(r -> r.task.startsWith(job.id) && r.how.equals("failed")).forEach(r -> failed.merge(r.task, 1, Integer::sum));
        // A task under which two workers have crashed may be given up.
        Map<String, java.util.Set<String>> crashed = new TreeMap<>();
        runs.stream().filter(r -> r.task.startsWith(job.id) && r.how.equals("crashed"))
            .forEach(r -> crashed.computeIfAbsent(r.task, t -> new java.util.TreeSet<>()).add(r.worker));
        if (failed.values().stream().noneMatch(n -> n >= job.attempts) && crashed.values().stream().noneMatch(w -> w.size() >= 2)) {
          breaks("LOST", job.id + " is shown as failed; failed runs: " + failed + ", workers that crashed under its tasks: " + crashed);
        }
      }
      if (job.lastState.equals("cancelled") && job.cancelSentAt == 0) {
        breaks("LOST", job.id + " is shown as cancelled and nobody cancelled it");
      }
    }
  }

  /**
   * Looks for a span in which a job that hasn't ended has nothing running, with more than twice its room free all the time.
   *
   * @param cpu the capacity of all workers, of which less than half must be in use
   */
  synchronized long longestIdle(Job job, long from, long to, long cpu) {
    long idleSince = from;
    long longest = 0;
    for (long t = from; t <= to; t += 20) {
      long at = t;
      long used = 0;
      boolean runs = false;
      for (Run run : this.runs) {
        if (run.startedAt <= at && (run.endedAt == 0 || run.endedAt > at)) {
          String[] parts = run.task.split("\\.");
          used += jobs.get(parts[0]).steps.get(Integer.parseInt(parts[2])).cpu();
          runs |= parts[0].equals(job.id);
        }
      }
      if (runs || used * 2 >= cpu) {
        idleSince = t;
      }
      longest = Math.max(longest, t - idleSince);
    }
    return longest;
  }

  synchronized long running(String job) {
    return runs.stream().filter(r -> r.task.startsWith(job) && r.endedAt == 0).count();
  }

  synchronized int runCount() {
    return runs.size();
  }

  synchronized List<Run> runsOf(String job) {
    return runs.stream().filter(r -> r.task.startsWith(job)).toList();
  }

  synchronized void write(Path file) {
    try {
      Files.write(file, record);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
