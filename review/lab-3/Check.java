import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records what clients and workers see, and checks the rules on jobs. */
final class Check implements StandInWorker.Observer, AutoCloseable {

  /** A job of a client. */
  static final class Job {
    String id;
    String spec;
    boolean durable;
    int attempts;
    int maxPerServer;
    String label = "";
    List<int[]> steps = new ArrayList<>(); // count, cpu
    List<List<Integer>> after = new ArrayList<>();
    boolean accepted;
    boolean unsure;
    int tries;
    long acceptedAt;
    long cancelSentAt;
    long cancelAckedAt;
    String shown = "";
  }

  private static final class End {
    StandInWorker worker;
    long life;
    long number;
    int run;
    String how;
    long at;
    boolean noted;
    boolean lapsed;
  }

  private static final class Start {
    String worker;
    int run;
    long at;
    long fence;
    String end = "";
    long endAt = Long.MAX_VALUE;
  }

  private static final int ACK_MILLIS = 4_000;
  private static final int CANCEL_MILLIS = 3_000;

  private final Map<String, Job> jobs = new HashMap<>();
  private final TreeMap<String, List<Start>> starts = new TreeMap<>();
  private final Map<String, List<End>> ends = new HashMap<>();
  private final Map<String, List<End>> unnoted = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private final PrintWriter record;
  private final long began = System.nanoTime();

  /** Whether nothing is disturbed, so that cancels must be acknowledged in time. */
  volatile boolean calm;

  Check(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file));
  }

  long now() {
    return (System.nanoTime() - began) / 1_000_000;
  }

  synchronized void note(String text) {
    record.println(now() + " " + text);
    record.flush();
  }

  synchronized void violation(String rule, String text) {
    broken.add(rule + ": " + text);
    note("BROKEN " + rule + ": " + text);
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  synchronized void submitted(Job job) {
    jobs.put(job.id, job);
  }

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('.'));
  }

  private static int stepOf(String task) {
    return Integer.parseInt(task.split("\\.")[2]);
  }

  @Override
  public synchronized void started(
      StandInWorker worker, long life, String task, int run, String spec, long fence) {
    note("start " + task + " run=" + run + " worker=" + worker.id + " fence=" + fence);
    Job job = jobs.get(jobOf(task));
    if (job == null) {
      violation("UNASKED", task + " was not submitted");
      return;
    }
    if (!spec.equals(job.spec)) {
      violation("UNASKED", task + " with another spec: " + spec.substring(0, Math.min(80, spec.length())));
    }
    List<Start> list = starts.computeIfAbsent(task, key -> new ArrayList<>());
    for (Start other : list) {
      if (other.endAt == Long.MAX_VALUE) {
        violation("TWICE", task + " run " + run + " on " + worker.id + " beside run " + other.run + " on " + other.worker);
      }
    }
    if (job.maxPerServer > 0) {
      String prefix = task.substring(0, task.lastIndexOf('.') + 1);
      long beside =
          starts.subMap(prefix, prefix + "~").entrySet().stream()
              .filter(each -> each.getKey().startsWith(prefix))
              .flatMap(each -> each.getValue().stream())
              .filter(start -> start.endAt == Long.MAX_VALUE && start.worker.equals(worker.id))
              .count();
      if (beside >= job.maxPerServer) {
        violation("ROUTE", task + " is the " + (beside + 1) + ". of its step on " + worker.id);
      }
    }
    for (int before : job.after.get(stepOf(task))) {
      for (int i = 0; i < job.steps.get(before)[0]; i++) {
        String name = job.id + ".0." + before + "." + i;
        if (ends.getOrDefault(name, List.of()).stream().noneMatch(end -> end.how.equals("done"))) {
          violation("ORDER", task + " before " + name);
        }
      }
    }
    if (job.cancelAckedAt > 0 && now() > job.cancelAckedAt + CANCEL_MILLIS) {
      violation("UNASKED", task + " started " + (now() - job.cancelAckedAt) + " ms after the cancel was acknowledged");
    }
    if (job.cancelSentAt > 0 && job.cancelAckedAt == 0 && calm && now() > job.cancelSentAt + ACK_MILLIS + CANCEL_MILLIS) {
      violation("UNASKED", task + " started " + (now() - job.cancelSentAt) + " ms after its cancel was sent");
    }
    Start start = new Start();
    start.worker = worker.id;
    start.run = run;
    start.at = now();
    start.fence = fence;
    list.add(start);
  }

  @Override
  public synchronized void ended(
      StandInWorker worker, long life, long number, String task, int run, String how) {
    note("end " + task + " run=" + run + " worker=" + worker.id + " " + how);
    for (Start start : starts.getOrDefault(task, List.of())) {
      if (start.run == run && start.worker.equals(worker.id) && start.endAt == Long.MAX_VALUE) {
        start.end = how;
        start.endAt = now();
      }
    }
    End end = new End();
    end.worker = worker;
    end.life = life;
    end.number = number;
    end.run = run;
    end.how = how;
    end.at = now();
    ends.computeIfAbsent(task, key -> new ArrayList<>()).add(end);
    if (number > 0) {
      unnoted.computeIfAbsent(worker.id + "/" + life, key -> new ArrayList<>()).add(end);
    }
  }

  @Override
  public synchronized void seen(StandInWorker worker, long life, long upto, long fence) {
    List<End> list = unnoted.get(worker.id + "/" + life);
    if (list != null) {
      for (End end : list) {
        if (end.number <= upto && !end.lapsed) {
          end.noted = true;
        }
      }
      list.removeIf(end -> end.number <= upto);
    }
  }

  @Override
  public synchronized void leaseLapsed(StandInWorker worker, long life) {
    unnoted.getOrDefault(worker.id + "/" + life, List.of()).forEach(end -> end.lapsed = true);
  }

  @Override
  public synchronized int cpuOf(String task) {
    Job job = jobs.get(jobOf(task));
    return job == null ? 1 : job.steps.get(stepOf(task))[1];
  }

  @Override
  public synchronized int failuresOf(String task) {
    return (int) ends.getOrDefault(task, List.of()).stream().filter(end -> end.how.equals("failed")).count();
  }

  
  public void overfilled(StandInWorker worker, String task, int cpu) {
    violation("LIMIT", task + " brings " + worker.id + " to " + cpu + " of " + worker.cpu);
  }

  /** Checks what can be told only at the end. */
  synchronized void finish() {
    for (Map.Entry<String, List<Start>> each : starts.entrySet()) {
      Job job = jobs.get(jobOf(each.getKey()));
      if (job == null) {
        continue;
      }
      if (!job.accepted && !job.unsure) {
        violation("REFUSED", each.getKey() + " started, and all attempts to submit it were rejected");
      }
      List<End> list = ends.getOrDefault(each.getKey(), List.of());
      if (!job.durable) {
        continue;
      }
      for (Start start : each.getValue()) {
        for (End end : list) {
          if (end.how.equals("done") && end.noted && end.at < start.at && end.run != start.run) {
            violation("TWICE", each.getKey() + " run " + start.run + " at " + start.at + " after run " + end.run
                + " was done at " + end.at + " on " + end.worker.id);
          }
        }
        long failed = list.stream().filter(end -> end.how.equals("failed") && end.noted && end.at < start.at).count();
        if (failed >= job.attempts) {
          violation("BUDGET", each.getKey() + " run " + start.run + " after " + failed + " failed");
        }
      }
    }
    for (Job job : jobs.values()) {
      boolean done = true;
      for (int step = 0; step < job.steps.size(); step++) {
        for (int i = 0; i < job.steps.get(step)[0]; i++) {
          String name = job.id + ".0." + step + "." + i;
          done &= ends.getOrDefault(name, List.of()).stream().anyMatch(end -> end.how.equals("done"));
        }
      }
      if (job.shown.equals("succeeded") && !done) {
        violation("MIXED", job.id + " is shown as succeeded, and a task has not ended so");
      }
    }
  }

  synchronized boolean mayFail(Job job) {
    for (int step = 0; step < job.steps.size(); step++) {
      for (int i = 0; i < job.steps.get(step)[0]; i++) {
        List<End> list = ends.getOrDefault(job.id + ".0." + step + "." + i, List.of());
        if (list.stream().filter(end -> end.how.equals("failed")).count() >= job.attempts
            || list.stream().filter(end -> end.how.equals("crashed")).count() >= 2) {
          return true;
        }
      }
    }
    return false;
  }

  /** Tells whether a job of one task is not done and has nothing running. */
  synchronized boolean stands(Job job) {
    String task = job.id + ".0.0.0";
    boolean done = ends.getOrDefault(task, List.of()).stream().anyMatch(end -> end.how.equals("done"));
    boolean running = starts.getOrDefault(task, List.of()).stream().anyMatch(start -> start.endAt == Long.MAX_VALUE);
    return !done && !running;
  }

  synchronized boolean startedWithin(Job job, int millis) {
    long from = now() - millis;
    return starts.getOrDefault(job.id + ".0.0.0", List.of()).stream().anyMatch(start -> start.at >= from);
  }

  /** Returns the cpu of all that runs on workers. */
  synchronized int cpuInUse() {
    int sum = 0;
    for (Map.Entry<String, List<Start>> each : starts.entrySet()) {
      for (Start start : each.getValue()) {
        sum += start.endAt == Long.MAX_VALUE ? cpuOf(each.getKey()) : 0;
      }
    }
    return sum;
  }

  /** Returns the worker that runs a task; empty if none does. */
  synchronized String workerOf(String task) {
    return starts.getOrDefault(task, List.of()).stream()
        .filter(start -> start.endAt == Long.MAX_VALUE)
        .map(start -> start.worker)
        .findFirst()
        .orElse("");
  }

  synchronized int startsOf(String task) {
    return starts.getOrDefault(task, List.of()).size();
  }

  synchronized int crashesUnder(String task) {
    return (int) ends.getOrDefault(task, List.of()).stream().filter(end -> end.how.equals("crashed")).count();
  }

  synchronized int startCount() {
    return starts.values().stream().mapToInt(List::size).sum();
  }

  @Override
  public void close() {
    record.close();
  }
}
