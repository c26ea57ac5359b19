import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Durable jobs of one task, some of which were at work on workers that crash and come back. */
final class CrashedNeighbours {

  private static final int WORKERS = 32;
  private static final int TASK_MILLIS = 4_000;
  private static final int JOB_INTERVAL_MILLIS = 10;
  private static final int TRAFFIC_MILLIS = 20_000;
  private static final int CRASH_AT_MILLIS = 19_000;
  private static final int CRASHES = 4;
  private static final int DOWN_MILLIS = 4_500;
  private static final int FINISH_MILLIS = 14_000;
  private static final int STILL_MILLIS = 3_000;

  private CrashedNeighbours() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 14);
    deployment.check.calm = true;
    deployment.start(4, WORKERS, 16_000);
    deployment.superviseHosts();
    List<Check.Job> jobs = Collections.synchronizedList(new ArrayList<>());
    ExecutorService callers = Executors.newFixedThreadPool(40);
    long begin = deployment.check.now();
    boolean crashed = !trouble;
    while (deployment.check.now() < begin + TRAFFIC_MILLIS) {
      callers.execute(
          () -> {
            Check.Job job = deployment.job(true, "ms=" + TASK_MILLIS, new int[] {1, 500});
            jobs.add(job);
            deployment.submit(deployment.hosts.get(jobs.size() % 4), job, TASK_MILLIS, 1_500);
          });
      Thread.sleep(JOB_INTERVAL_MILLIS);
      if (!crashed && deployment.check.now() > begin + CRASH_AT_MILLIS) {
        crashed = true;
        crash(deployment);
      }
    }
    callers.shutdown();
    deployment.check.note("the traffic has ended");
    Thread.sleep(FINISH_MILLIS);
    List<Check.Job> before = jobs.stream().filter(job -> job.accepted && deployment.check.stands(job)).toList();
    int used = deployment.check.cpuInUse();
    deployment.check.note("stand still at the end of finish_s: " + before.size() + ", cpu in use: " + used);
    int most = used;
    for (int i = 0; i < STILL_MILLIS; i += 50) {
      Thread.sleep(50);
      most = Math.max(most, deployment.check.cpuInUse());
    }
    List<Check.Job> still =
        before.stream().filter(job -> deployment.check.stands(job) && !deployment.check.startedWithin(job, STILL_MILLIS)).toList();
    int half = WORKERS * 16_000 / 2;
    deployment.check.note("stood still for " + STILL_MILLIS + " ms: " + still.size() + ", most cpu in use: " + most + " of " + 2 * half);
    for (Check.Job job : still) {
      Caller.Answer answer = deployment.get(deployment.hosts.get(0), job);
      if (most < half && !Deployment.stateIn(answer.body()).equals("succeeded")) {
        deployment.check.violation(
            "LOST", job.id + " has nothing running for " + STILL_MILLIS + " ms, " + most + " of " + 2 * half + " in use: " + answer.body());
      }
    }
    deployment.check.finish();
    Deployment.exit(deployment.check.broken());
  }

  /** Crashes one worker of each failure domain; they start again under their ids. */
  private static void crash(Deployment deployment) {
    for (int i = 0; i < CRASHES; i++) {
      StandInWorker worker = deployment.workers.get(i);
      deployment.check.note("worker " + worker.id + " crashes");
      worker.crash();
      new Thread(
              () -> {
                try {
                  Thread.sleep(DOWN_MILLIS);
                  worker.restart();
                  deployment.check.note("worker " + worker.id + " is back");
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              })
          .start();
    }
  }
}
