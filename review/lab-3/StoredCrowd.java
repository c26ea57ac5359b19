import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Ordinary callers of durable jobs beside a crowd that hands in many durable jobs, each within the limits. */
final class StoredCrowd {

  private static final int CROWD_JOBS = 14_000;
  private static final int CROWD_CLIENTS = 80;

  /** The longest spec that the pages allow. */
  private static final int CROWD_SPEC_BYTES = 4_000;

  private static final int CROWD_TASK_MILLIS = 75_000;
  private static final int CROWD_SECONDS = 50;
  private static final int FINISH_MILLIS = 14_000;
  private static final int ORDINARY_JOBS = 20;
  private static final int ASKED_TIMES = 2;
  private static final int ASK_SECONDS = 30;

  private StoredCrowd() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 11);
    deployment.start(3, 6, 16_000);
    deployment.superviseHosts();
    List<Check.Job> ordinary = new ArrayList<>();
    for (int i = 0; i < ORDINARY_JOBS; i++) {
      Check.Job job = deployment.job(true, "ms=2000", new int[] {2, 500}, new int[] {2, 500}, new int[] {1, 500});
      ordinary.add(job);
      deployment.submit(deployment.hosts.get(i % 3), job, 2_000, 1_500);
    }
    if (trouble) {
      crowd(deployment);
    } else {
      Thread.sleep(5_000);
    }
    deployment.check.note("the traffic has ended");
    Thread.sleep(FINISH_MILLIS);
    ExecutorService callers = Executors.newFixedThreadPool(ORDINARY_JOBS);
    ordinary.stream().filter(job -> job.accepted).forEach(job -> callers.execute(() -> ask(deployment, job)));
    callers.shutdown();
    callers.awaitTermination(ASK_SECONDS, TimeUnit.SECONDS);
    if (deployment.endedByItself.get() > 0) {
      deployment.check.violation("CLIENTS", deployment.endedByItself.get() + " times a process of a host ended by itself");
    }
    Deployment.exit(deployment.check.broken());
  }

  private static void crowd(Deployment deployment) throws Exception {
    String words = "ms=" + CROWD_TASK_MILLIS + " ";
    String spec = words + "x".repeat(CROWD_SPEC_BYTES - words.length());
    ExecutorService pool = Executors.newFixedThreadPool(CROWD_CLIENTS);
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger accepted = new AtomicInteger();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(CROWD_SECONDS);
    for (int i = 0; i < CROWD_CLIENTS; i++) {
      pool.execute(
          () -> {
            while (System.nanoTime() < end && sent.get() < CROWD_JOBS) {
              int number = sent.getAndIncrement();
              Check.Job job = deployment.job(true, spec, new int[] {1, 2});
              Host host = deployment.hosts.get(number % deployment.hosts.size());
              if (deployment.submit(host, job, 50, 1_500).status() == 200) {
                accepted.incrementAndGet();
              } else {
                sleep(100);
              }
            }
          });
    }
    pool.shutdown();
    pool.awaitTermination(CROWD_SECONDS + 5, TimeUnit.SECONDS);
    deployment.check.note("the crowd has sent " + sent + " jobs, of which " + accepted + " were accepted");
  }

  private static void sleep(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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
    String state = answer.status() == 200 ? Deployment.stateIn(answer.body()) : "answered with " + answer.status();
    if (!state.equals("succeeded")) {
      deployment.check.violation("LOST", job.id + ", an ordinary job that was accepted, is " + state + " at the end");
    }
  }
}
