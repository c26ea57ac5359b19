package org.marjoramhoist.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.experiment.LeasedWorker;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.log.Logging;
import org.marjoramhoist.trial.PlatformCluster;

/** Runs entry hosts with stand-ins of the platform in one process, and sends them jobs. */
final class TrialCommand implements Command {

  private static final int WORKERS = 4;
  private static final int TASKS = 4;
  private static final int TASK_MILLIS = 20;
  private static final long PAUSE_MILLIS = 8;
  private static final long READY_MILLIS = 10_000;
  private static final int MAX_JOBS = 100_000;
  private static final int OK = 200;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final LeasedWorker.Observer NO_OBSERVER =
      new LeasedWorker.Observer() {
        @Override
        public void runStarted(LeasedWorker worker, RunRef run) {
          // Nothing to note.
        }

        @Override
        public void runEnded(LeasedWorker worker, RunRef run, RunOutcome how) {
          // Nothing to note.
        }
      };

  @Override
  public String name() {
    return "trial";
  }

  @Override
  public String summary() {
    return "Run entry hosts with stand-ins of the platform in one process, and send them jobs.";
  }

  @Override
  public String example() {
    return "marjoramhoist trial --hosts 3 --jobs 200";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--hosts").type(Integer.class).setDefault(2).help("entry hosts");
    parser.addArgument("--jobs").type(Integer.class).setDefault(100).help("jobs to send");
  }

  @Override
  public boolean configuresLogging() {
    return true;
  }

  @Override
  public ExitCode run(Namespace arguments) throws Exception {
    int hosts = arguments.getInt("hosts");
    int jobs = arguments.getInt("jobs");
    if (hosts < 1 || hosts > 20 || jobs < 1 || jobs > MAX_JOBS) {
      throw new CommandFailure(
          ExitCode.BAD_INPUT, "hosts must be from 1 to 20, jobs from 1 to " + MAX_JOBS);
    }
    // As an entry host logs; the build archives the classes that a trial has loaded.
    Logging.configure(
        arguments.getString("log_format"),
        arguments.getString("log_level"),
        Logging.Target.STANDARD_OUTPUT_QUEUED);
    try (PlatformCluster cluster = new PlatformCluster(hosts, WORKERS, NO_OBSERVER)) {
      if (!cluster.awaitReady(READY_MILLIS)) {
        throw new CommandFailure(ExitCode.FAILED, "the hosts did not get ready");
      }
      return send(cluster, hosts, jobs);
    }
  }

  private static ExitCode send(PlatformCluster cluster, int hosts, int jobs)
      throws InterruptedException {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    long begin = System.nanoTime();
    for (int i = 0; i < jobs; i++) {
      String id = String.format(Locale.ROOT, "%016x", i + 1);
      String body = PlatformCluster.job(TASKS, TASK_MILLIS);
      replies.add(cluster.send(i % hosts, "POST", id, body));
      Thread.sleep(PAUSE_MILLIS);
    }
    long succeeded =
        replies.stream()
            .map(reply -> reply.handle((done, error) -> error == null && done.status() == OK))
            .filter(CompletableFuture::join)
            .count();
    double millis = (System.nanoTime() - begin) / NANOS_PER_MILLI;
    System.out.printf(
        Locale.ROOT, "%d of %d jobs answered with success in %.0f ms%n", succeeded, jobs, millis);
    return succeeded == jobs ? ExitCode.OK : ExitCode.FAILED;
  }
}
