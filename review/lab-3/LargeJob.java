import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Ordinary callers of durable jobs beside one large job, each of whose tasks fails three times of four. */
final class LargeJob {

  private static final int LARGE_TASKS = 10_000;
  private static final int ATTEMPTS = 4;
  private static final int FAILED_RUNS = 3;
  private static final int TRAFFIC_MILLIS = 60_000;
  private static final int ORDINARY_INTERVAL_MILLIS = 500;
  private static final int LONG_JOBS = 10;
  private static final int CANCEL_AT_MILLIS = 45_000;
  private static final int ACK_MILLIS = 4_000;
  private static final int FINISH_MILLIS = 14_000;
  private static final int ASKED_TIMES = 2;

  private LargeJob() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 15);
    deployment.attempts = ATTEMPTS;
    deployment.check.calm = true;
    deployment.start(3, 8, 16_000);
    deployment.superviseHosts();
    Check.Job large =
        deployment.job(true, "ms=40 fail=" + (trouble ? FAILED_RUNS : 0), new int[] {LARGE_TASKS, 20});
    deployment.submit(deployment.hosts.get(0), large, 40, 1_500);
    List<Check.Job> longJobs = new ArrayList<>();
    for (int i = 0; i < LONG_JOBS; i++) {
      Check.Job job = deployment.job(true, "ms=100000", new int[] {1, 500});
      longJobs.add(job);
      deployment.submit(deployment.hosts.get(i % 3), job, 2_000, 1_500);
    }
    ExecutorService callers = Executors.newFixedThreadPool(LONG_JOBS);
    List<Check.Job> ordinary = new ArrayList<>();
    boolean cancelled = false;
    for (int i = 0; deployment.check.now() < TRAFFIC_MILLIS; i++) {
      Check.Job job = deployment.job(true, "ms=900", new int[] {2, 500}, new int[] {1, 500});
      ordinary.add(job);
      deployment.submit(deployment.hosts.get(i % 3), job, 900, 1_500);
      Thread.sleep(ORDINARY_INTERVAL_MILLIS);
      if (!cancelled && deployment.check.now() > CANCEL_AT_MILLIS) {
        cancelled = true;
        longJobs.forEach(each -> callers.execute(() -> cancel(deployment, each)));
      }
    }
    deployment.check.note("the traffic has ended");
    callers.shutdown();
    callers.awaitTermination(FINISH_MILLIS, TimeUnit.MILLISECONDS);
    Thread.sleep(Math.max(0, TRAFFIC_MILLIS + FINISH_MILLIS - deployment.check.now()));
    judgeCancels(deployment, longJobs);
    ordinary.parallelStream().filter(job -> job.accepted).forEach(job -> ask(deployment, job));
    deployment.check.finish();
    deployment.check.note("the longest value that the store refused: " + deployment.store.longestRefusedBytes + " bytes");
    Deployment.exit(deployment.check.broken());
  }

  /** Cancels a job; the client tries again at another host for as long as it gets no answer. */
  private static void cancel(Deployment deployment, Check.Job job) {
    job.cancelSentAt = deployment.check.now();
    for (int i = 0; job.cancelAckedAt == 0 && deployment.check.now() < TRAFFIC_MILLIS + ACK_MILLIS; i++) {
      Host host = deployment.hosts.get(i % deployment.hosts.size());
      Caller.Answer answer =
          Caller.call(host.front(), "DELETE", Deployment.PREFIX + job.id, Deployment.HOST, "", 1_500, 2_000);
      deployment.check.note("DELETE " + job.id + " at " + host.name + " -> " + answer.status() + " " + answer.body());
      if (answer.status() == 200 || answer.status() == 410) {
        job.cancelAckedAt = deployment.check.now();
      }
    }
  }

  private static void judgeCancels(Deployment deployment, List<Check.Job> longJobs) {
    List<Check.Job> accepted = longJobs.stream().filter(job -> job.accepted).toList();
    long late =
        accepted.stream()
            .filter(job -> job.cancelAckedAt == 0 || job.cancelAckedAt > job.cancelSentAt + ACK_MILLIS)
            .count();
    if (late >= 3 && late * 10 > accepted.size()) {
      deployment.check.violation(
          "Acks", late + " of " + accepted.size() + " cancels of accepted jobs had no 2xx or 410 after " + ACK_MILLIS + " ms");
    }
  }

  private static void ask(Deployment deployment, Check.Job job) {
    Caller.Answer answer = null;
    for (int i = 0; i < ASKED_TIMES * deployment.hosts.size(); i++) {
      answer = deployment.get(deployment.hosts.get(i % deployment.hosts.size()), job);
      if (answer.status() == 200 || answer.status() == 410) {
        break;
      }
    }
    if (answer.status() != 200) {
      deployment.check.violation("LOST", job.id + ", an accepted job, is answered with " + answer.status());
    } else if (!Deployment.stateIn(answer.body()).equals("succeeded")) {
      deployment.check.note("never shown as ended: " + job.id + ", accepted at " + job.acceptedAt + ": " + answer.body());
    }
  }
}
