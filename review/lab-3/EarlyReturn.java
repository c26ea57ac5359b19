import java.nio.file.Path;
import java.util.List;

/**
 * A best-effort job whose entry host is killed, and its leader soon after; the client sends it again
 * in the first second of the next term, while the worker that runs it is cut off.
 */
final class EarlyReturn {

  private static final int ROUNDS = 5;
  private static final int TASK_MILLIS = 2_500;
  private static final int ESTIMATE_MILLIS = 900;
  private static final int RUNS_BEFORE_MILLIS = 200;
  private static final int STARTS_WITHIN_MILLIS = 800;
  private static final int CUT_AFTER_MILLIS = 700;
  private static final int LEADER_KILL_AFTER_MILLIS = 800;
  private static final int RESEND_MILLIS = 1_300;
  private static final int DEADLINE_MILLIS = 1_500;
  private static final int PAUSE_MILLIS = 5_000;

  private EarlyReturn() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 12);
    deployment.start(5, 8, 16_000);
    Thread.sleep(2_500);
    for (int i = 0; i < ROUNDS; i++) {
      round(deployment, trouble);
    }
    deployment.check.finish();
    Deployment.exit(deployment.check.broken());
  }

  private static void round(Deployment deployment, boolean trouble) throws Exception {
    Host leader = deployment.leader();
    List<Host> others = deployment.hosts.stream().filter(host -> host != leader).toList();
    Host entry = others.get(0);
    Check.Job job = deployment.job(false, "ms=" + TASK_MILLIS, new int[] {1, 500});
    Thread client = new Thread(() -> call(deployment, entry, others.get(1), job));
    client.start();
    Thread.sleep(RUNS_BEFORE_MILLIS);
    String id = deployment.check.workerOf(job.id + ".0.0.0");
    for (int i = 0; id.isEmpty() && i < STARTS_WITHIN_MILLIS; i += 10) {
      Thread.sleep(10);
      id = deployment.check.workerOf(job.id + ".0.0.0");
    }
    String runs = id;
    StandInWorker worker = deployment.workers.stream().filter(each -> each.id.equals(runs)).findFirst().orElseThrow();
    deployment.check.note("leader " + leader.name + ", entry " + entry.name + ", worker " + id);
    if (trouble) {
      long begin = deployment.check.now();
      entry.kill();
      deployment.check.note("killed " + entry.name);
      sleepUntil(deployment, begin + CUT_AFTER_MILLIS);
      worker.cutFromMachines = true;
      deployment.check.note("cut " + id);
      sleepUntil(deployment, begin + LEADER_KILL_AFTER_MILLIS);
      leader.kill();
      deployment.check.note("killed " + leader.name);
    }
    client.join();
    worker.cutFromMachines = false;
    for (Host host : List.of(entry, leader)) {
      if (!host.isAlive()) {
        host.start();
      }
    }
    Thread.sleep(PAUSE_MILLIS);
    deployment.awaitReady();
  }

  /** Submits a job, and again elsewhere after a broken connection or a 504. */
  private static void call(Deployment deployment, Host entry, Host next, Check.Job job) {
    Caller.Answer answer = deployment.submit(entry, job, ESTIMATE_MILLIS, DEADLINE_MILLIS);
    if (answer.status() == 0 || answer.status() == 504) {
      try {
        Thread.sleep(RESEND_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      deployment.submit(next, job, ESTIMATE_MILLIS, DEADLINE_MILLIS);
    }
  }

  private static void sleepUntil(Deployment deployment, long time) throws InterruptedException {
    Thread.sleep(Math.max(0, time - deployment.check.now()));
  }
}
