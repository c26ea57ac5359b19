package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.config.NodeSettings.Limits;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.experiment.LeasedWorker;
import org.marjoramhoist.job.RunRef;

/** Runs hosts with different resource limits and checks which of them leads. */
class LargestHostLeadsTest {

  private static final long TIMEOUT_SECONDS = 20;
  private static final Limits SMALL = new Limits(0.25, 1_000);
  private static final Limits LARGE = new Limits(2, 1_000);

  private static final LeasedWorker.Observer NO_OBSERVER =
      new LeasedWorker.Observer() {
        @Override
        public void runStarted(LeasedWorker worker, RunRef run) {
          // This test checks leadership only.
        }

        @Override
        public void runEnded(LeasedWorker worker, RunRef run, RunOutcome outcome) {
          // This test checks leadership only.
        }
      };

  private static boolean waitUntil(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      Thread.sleep(20);
    }
    return true;
  }

  /** Hosts start in the order of their names, so a small one may be elected first. */
  @Test
  void largestHostTakesOverLeadership() throws IOException, InterruptedException {
    try (PlatformCluster cluster =
        new PlatformCluster(List.of(SMALL, SMALL, LARGE), 2, NO_OBSERVER)) {
      assertThat(waitUntil(() -> cluster.hosts().get(2).isLeader())).isTrue();
      assertThat(waitUntil(() -> !cluster.hosts().get(0).isLeader())).isTrue();
      assertThat(waitUntil(() -> !cluster.hosts().get(1).isLeader())).isTrue();
    }
  }
}
