import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Durable jobs for workers of one kind, which are cut off, crash behind the cut and start again. */
final class RebornBehindCut {

  private static final int WORKERS = 48;
  private static final int CUT = 8;
  private static final String KIND = "c";
  private static final int JOBS = 2;
  private static final int TASK_MILLIS = 4_000;
  private static final int TASK_CPU = 9_000;
  private static final int SETTLE_MILLIS = 3_000;
  private static final int CUT_AFTER_MILLIS = 1_000;
  private static final int CRASH_AFTER_MILLIS = 4_500;
  private static final int CUT_MILLIS = 5_500;
  private static final int FINISH_MILLIS = 14_000;

  private RebornBehindCut() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment deployment = new Deployment(Path.of(args[0]), 16);
    deployment.start(3, WORKERS, 16_000);
    deployment.superviseHosts();
    List<StandInWorker> cut = deployment.workers.subList(0, CUT);
    cut.forEach(worker -> worker.setKind(KIND));
    Thread.sleep(SETTLE_MILLIS);
    List<Check.Job> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      Check.Job job = deployment.job(true, "ms=" + TASK_MILLIS, new int[] {1, TASK_CPU});
      job.label = KIND;
      jobs.add(job);
      deployment.submit(deployment.hosts.get(i), job, TASK_MILLIS, 1_500);
    }
    Thread.sleep(CUT_AFTER_MILLIS);
    if (trouble) {
      deployment.check.note("the workers of kind " + KIND + " are cut off");
      cut.forEach(worker -> worker.cutFromMachines = true);
      Thread.sleep(CRASH_AFTER_MILLIS);
      deployment.check.note("they crash behind the cut and start again");
      cut.forEach(StandInWorker::crashBehindCut);
      Thread.sleep(CUT_MILLIS - CRASH_AFTER_MILLIS);
      cut.forEach(worker -> worker.cutFromMachines = false);
      deployment.check.note("the cut has healed");
    }
    Thread.sleep(FINISH_MILLIS);
    for (Check.Job job : jobs) {
      Caller.Answer answer = deployment.get(deployment.hosts.get(0), job);
      job.shown = answer.status() == 200 ? Deployment.stateIn(answer.body()) : "";
      String task = job.id + ".0.0.0";
      int crashes = deployment.check.crashesUnder(task);
      String seen = "starts of its task: " + deployment.check.startsOf(task) + ", of these failed: "
          + deployment.check.failuresOf(task) + ", workers that crashed under it: " + crashes;
      deployment.check.note(job.id + " is " + answer.body() + "; " + seen);
      if (job.accepted && (answer.status() != 200 || job.shown.equals("failed") && !deployment.check.mayFail(job))) {
        deployment.check.violation("LOST", job.id + ", an accepted job, is shown as " + answer.body() + "; " + seen);
      }
    }
    deployment.check.finish();
    Deployment.exit(deployment.check.broken());
  }
}
