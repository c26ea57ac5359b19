import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Durable jobs whose tasks run for 100 s, beside ordinary ones. */
final class LongTasks {

  private static final int LONG_JOBS = 12;
  private static final int LONG_MILLIS = 100_000;
  private static final int SHORT_MILLIS = 500;
  private static final int TRAFFIC_MILLIS = 30_000;
  private static final int ORDINARY_INTERVAL_MILLIS = 500;
  private static final int FINISH_MILLIS = 14_000;
  private static final int LOOK_MILLIS = 40_000;
  private static final int STILL_MILLIS = 3_000;
  private static final int WORKERS = 6;
  private static final int WORKER_CPU = 16_000;

  private LongTasks() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 17);
    deployment.check.calm = true;
    deployment.start(3, WORKERS, WORKER_CPU);
    deployment.superviseHosts();
    List<Check.Job> jobs = new ArrayList<>();
    int millis = trouble ? LONG_MILLIS : SHORT_MILLIS;
    for (int i = 0; i < LONG_JOBS; i++) {
      Check.Job job = deployment.job(true, "ms=" + millis, new int[] {1, 500});
      jobs.add(job);
      deployment.submit(deployment.hosts.get(i % 3), job, millis, 1_500);
    }
    long end = deployment.check.now() + TRAFFIC_MILLIS;
    for (int i = 0; deployment.check.now() < end; i++) {
      Check.Job job = deployment.job(true, "ms=" + SHORT_MILLIS, new int[] {1, 500});
      jobs.add(job);
      deployment.submit(deployment.hosts.get(i % 3), job, SHORT_MILLIS, 1_500);
      Thread.sleep(ORDINARY_INTERVAL_MILLIS);
    }
    deployment.check.note("the traffic has ended");
    Thread.sleep(FINISH_MILLIS);
    Map<String, Long> still = new HashMap<>();
    for (Check.Job job : jobs) {
      if (job.accepted) {
        look(deployment, job, still);
      }
    }
    Map<String, Long> since = new HashMap<>();
    long until = deployment.check.now() + LOOK_MILLIS;
    int most = 0;
    while (deployment.check.now() < until) {
      most = Math.max(most, deployment.check.cpuInUse());
      for (Check.Job job : jobs) {
        if (!job.accepted || !deployment.check.stands(job)) {
          since.remove(job.id);
        } else if (deployment.check.now() - since.computeIfAbsent(job.id, key -> deployment.check.now()) > STILL_MILLIS) {
          still.merge(job.id, deployment.check.now() - since.get(job.id), Math::max);
        }
      }
      Thread.sleep(20);
    }
    deployment.check.note("most cpu in use: " + most + " of " + WORKERS * WORKER_CPU);
    for (Check.Job job : jobs) {
      if (still.containsKey(job.id) && most * 2 < WORKERS * WORKER_CPU) {
        deployment.check.violation(
            "LOST", job.id + " (" + job.spec + ") had nothing running for " + still.get(job.id) + " ms after the end of finish_s, starts: "
                + deployment.check.startsOf(job.id + ".0.0.0") + ", at most " + most + " of " + WORKERS * WORKER_CPU + " in use");
      }
    }
    deployment.check.finish();
    Deployment.exit(deployment.check.broken());
  }

  private static void look(Deployment deployment, Check.Job job, Map<String, Long> still) {
    Caller.Answer answer = deployment.get(deployment.hosts.get(0), job);
    if (answer.status() != 200) {
      deployment.check.violation("LOST", job.id + " is answered with " + answer.status());
    }
  }
}
