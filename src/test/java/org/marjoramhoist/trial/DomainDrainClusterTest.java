package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.http.HttpReply;

/** Runs hosts in two failure domains, one of which the operator drains. */
class DomainDrainClusterTest {

  private static final String DRAIN_NORTH = "op/evacuate/north";
  private static final long READY_MILLIS = 20_000;

  /** The maximum time until no task may start in a drained domain. */
  private static final long MAX_DRAIN_DELAY_MILLIS = 5_000;

  private static final NodeSettings.Limits LIMITS = new NodeSettings.Limits(1, 1_000);
  private static final int HOSTS = 3;

  private final RecordingObserver observer = new RecordingObserver();
  private PlatformCluster cluster;
  private int jobs;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    cluster =
        new PlatformCluster(
            List.of(
                new PlatformCluster.Host("north", LIMITS),
                new PlatformCluster.Host("south", LIMITS),
                new PlatformCluster.Host("south", LIMITS)),
            List.of("north", "north", "south", "south"),
            observer);
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
  }

  @AfterEach
  void stop() {
    cluster.close();
    assertThat(observer.concurrentRuns).isEmpty();
  }

  private CompletableFuture<HttpReply> send(int host, int tasks, int millis) {
    String id = String.format(Locale.ROOT, "%016x", ++jobs);
    return cluster.send(host, "POST", id, PlatformCluster.job(tasks, millis));
  }

  /**
   * Submits a job of 24 tasks; both domains together have capacity for 32 tasks, each one for 16.
   */
  private void assertServedBy(int host, String... domains) {
    observer.usedDomains.clear();
    assertThat(send(host, 24, 60).join().status()).isEqualTo(200);
    assertThat(observer.usedDomains).containsExactlyElementsIn(domains);
  }

  private int leader() {
    for (int i = 0; i < HOSTS; i++) {
      if (cluster.hosts().get(i).isLeader()) {
        return i;
      }
    }
    throw new AssertionError("no host is leader");
  }

  /** Whichever host leads, the leader must be notified of the drain key in time. */
  @Test
  void drainedDomainIsUnusedUntilDrainEnds() throws InterruptedException {
    assertServedBy(0, "north", "south");
    cluster.store().put(DRAIN_NORTH, "{}");
    Thread.sleep(MAX_DRAIN_DELAY_MILLIS / 5);
    assertServedBy(0, "south");
    cluster.store().compact();
    assertServedBy(1, "south");
    cluster.store().delete(DRAIN_NORTH);
    Thread.sleep(MAX_DRAIN_DELAY_MILLIS / 5);
    assertServedBy(1, "north", "south");
  }

  /** A drain must not abort running tasks. */
  @Test
  void runningTasksInDrainedDomainComplete() throws InterruptedException {
    CompletableFuture<HttpReply> reply = send(0, 24, 1_000);
    while (!observer.usedDomains.contains("north")) {
      Thread.sleep(5);
    }
    cluster.store().put(DRAIN_NORTH, "{}");
    assertThat(reply.join().status()).isEqualTo(200);
  }

  /** A newly elected leader must know the drain before it starts any task. */
  @Test
  void nextLeaderHonorsDrainWithAndWithoutStore() throws InterruptedException {
    cluster.store().put(DRAIN_NORTH, "{}");
    Thread.sleep(MAX_DRAIN_DELAY_MILLIS / 5);
    int leader = leader();
    observer.usedDomains.clear();
    cluster.kill(leader);
    int other = (leader + 1) % HOSTS;
    assertServedBy(other, "south");
    cluster.store().setDown(true);
    assertServedBy(other, "south");
    cluster.store().setDown(false);
  }

  /** A host that led before it had read the drain keys would start tasks in the drained domain. */
  @Test
  void hostsStartedDuringDrainUseOtherDomainsOnly() throws IOException, InterruptedException {
    cluster.store().put(DRAIN_NORTH, "{}");
    for (int i = 0; i < HOSTS; i++) {
      cluster.kill(i);
    }
    observer.usedDomains.clear();
    cluster.restartAll();
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    assertServedBy(0, "south");
  }
}
