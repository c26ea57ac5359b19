import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Durable jobs whose spec has letters beyond ASCII, at hosts whose environment names no language. */
final class Letters {

  private static final int JOBS = 12;
  private static final int JOB_INTERVAL_MILLIS = 300;
  private static final int FINISH_MILLIS = 14_000;
  private static final String ASCII = "ms=300 vurdering av ramme for Ase";
  private static final String NORWEGIAN = "ms=300 vurdering av ramme for \u00c5se";

  private Letters() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 13);
    deployment.lang = null;
    deployment.start(3, 6, 16_000);
    deployment.superviseHosts();
    List<Check.Job> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      boolean plain = i % 2 == 0 || !trouble;
      Check.Job job = deployment.job(true, plain ? ASCII : NORWEGIAN, new int[] {1, 500});
      jobs.add(job);
      deployment.submit(deployment.hosts.get(i % 3), job, 300, 1_500);
      Thread.sleep(JOB_INTERVAL_MILLIS);
    }
    deployment.check.note("the traffic has ended");
    Thread.sleep(FINISH_MILLIS);
    for (Check.Job job : jobs) {
      Caller.Answer answer = deployment.get(deployment.hosts.get(0), job);
      String state = answer.status() == 200 ? Deployment.stateIn(answer.body()) : "answered with " + answer.status();
      if (job.accepted && !state.equals("succeeded")) {
        deployment.check.violation(
            "LOST", job.id + ", accepted at " + job.acceptedAt + ", is " + state + " on idle workers; spec: " + job.spec);
      }
    }
    deployment.check.finish();
    Deployment.exit(deployment.check.broken());
  }
}
