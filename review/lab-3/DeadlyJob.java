import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Timer;
import java.util.concurrent.atomic.AtomicInteger;

/** A durable job whose task crashes each worker that starts it; each is back as a new incarnation. */
final class DeadlyJob {

  private static final int TRAFFIC_MILLIS = 80_000;
  private static final int ORDINARY_INTERVAL_MILLIS = 400;
  private static final int BACK_MILLIS = 3_000;

  /** Three heartbeats of silence. */
  private static final int UNLISTED_MILLIS = 4_500;

  private static final int CRASHES = 3;
  private static final int MORE_STARTS = 3;

  private DeadlyJob() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 17);
    deployment.check.calm = true;
    deployment.start(3, 12, 16_000);
    deployment.superviseHosts();
    Timer timer = new Timer(true);
    AtomicInteger next = new AtomicInteger(8_000);
    for (StandInWorker worker : List.copyOf(deployment.workers)) {
      watch(deployment, worker, timer, next);
    }
    Check.Job deadly =
        deployment.job(true, trouble ? "ms=900 deadly" : "ms=900 harmless", new int[] {1, 500});
    deployment.submit(deployment.hosts.get(0), deadly, 900, 1_500);
    List<Check.Job> ordinary = new ArrayList<>();
    for (int i = 0; deployment.check.now() < TRAFFIC_MILLIS; i++) {
      Check.Job job = deployment.job(true, "ms=500", new int[] {2, 500});
      ordinary.add(job);
      deployment.submit(deployment.hosts.get(i % 3), job, 500, 1_500);
      Thread.sleep(ORDINARY_INTERVAL_MILLIS);
    }
    deployment.get(deployment.hosts.get(0), deadly);
    int crashes = deployment.check.crashesUnder(deadly.id + ".0.0.0");
    int starts = deployment.check.startsOf(deadly.id + ".0.0.0");
    deployment.check.note("starts of the task: " + starts + ", crashes under it: " + crashes);
    if (starts >= CRASHES + MORE_STARTS) {
      deployment.check.violation(
          "BUDGET", "the task was started " + (starts - CRASHES) + " times more after " + CRASHES + " workers had crashed under it");
    }
    deployment.check.finish();
    Deployment.exit(deployment.check.broken());
  }

  /** Puts a new incarnation at a new address in the place of a worker that crashes. */
  private static void watch(Deployment deployment, StandInWorker worker, Timer timer, AtomicInteger next) {
    worker.onDeadlyTask =
        () -> {
          deployment.check.note("worker " + worker.id + " crashed");
          timer.schedule(StandInStore.task(() -> replace(deployment, worker, timer, next)), BACK_MILLIS);
          timer.schedule(StandInStore.task(worker::unlist), UNLISTED_MILLIS);
        };
  }

  private static void replace(Deployment deployment, StandInWorker old, Timer timer, AtomicInteger next) {
    try {
      String id = "i-" + next.incrementAndGet();
      StandInWorker worker =
          new StandInWorker(
              id, old.service, old.zone, old.rack, old.cpu, old.speed, deployment.store, deployment.check, next.get());
      watch(deployment, worker, timer, next);
      deployment.check.note("worker " + id + " is in the place of " + old.id);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
