package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.http.HttpReply;

/**
 * Runs hosts in two failure domains, one of which is isolated from the other and from the store.
 * The leader is in the other domain, whose hosts have more CPU.
 */
class DomainIsolationClusterTest {

  private static final long READY_MILLIS = 20_000;
  private static final long RETRY_MILLIS = 100;
  private static final long ISOLATION_MILLIS = 5_000;

  /** The time after which every host of an isolated domain has detected the loss of the leader. */
  private static final long DETECTION_MILLIS = 550;

  /** The minimum duration of an election after the loss of a domain's leader. */
  private static final long MIN_ELECTION_MILLIS = 450;

  /** The minimum duration of two polls of the other hosts. */
  private static final long MIN_TWO_POLLS_MILLIS = 1_300;

  private static final PlatformCluster.Host NORTH =
      new PlatformCluster.Host("north", new NodeSettings.Limits(1, 1_000));
  private static final PlatformCluster.Host SOUTH =
      new PlatformCluster.Host("south", new NodeSettings.Limits(4, 1_000));
  private static final List<Integer> SOUTH_HOSTS = List.of(3, 4, 5, 6);

  private final RecordingObserver observer = new RecordingObserver();
  private PlatformCluster cluster;
  private int jobs;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    cluster =
        new PlatformCluster(
            List.of(NORTH, NORTH, NORTH, SOUTH, SOUTH, SOUTH, SOUTH),
            List.of("north", "north", "south", "south"),
            observer);
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    // Leadership is handed over to a host with more CPU once it has followed for two seconds.
    long deadline = System.nanoTime() + READY_MILLIS * 1_000_000;
    while (SOUTH_HOSTS.stream().noneMatch(host -> cluster.hosts().get(host).isLeader())) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(20);
    }
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

  /** Submits jobs until one succeeds, as callers that are refused retry. */
  private void awaitServed(int host) throws InterruptedException {
    long deadline = System.nanoTime() + READY_MILLIS * 1_000_000;
    while (send(host, 1, 10).join().status() != 200) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(RETRY_MILLIS);
    }
  }

  private void isolateNorth() throws IOException {
    cluster.store().setDown(true);
    for (int host : SOUTH_HOSTS) {
      cluster.blackhole(host);
    }
  }

  @Test
  void isolatedDomainServesCallersOnItsOwnWorkers() throws Exception {
    assertThat(send(0, 2, 30).join().status()).isEqualTo(200);
    isolateNorth();
    awaitServed(0);
    awaitServed(1);
    awaitServed(2);
    observer.usedDomains.clear();
    for (int host : List.of(0, 1, 2, 0)) {
      assertThat(send(host, 3, 40).join().status()).isEqualTo(200);
    }
    assertThat(observer.usedDomains).containsExactly("north");
  }

  /**
   * A network partition may refuse connections rather than drop packets, which looks as if the
   * processes of all other hosts had ended.
   */
  @Test
  void domainServesCallersIfConnectionsAreRefused() throws Exception {
    cluster.store().setDown(true);
    SOUTH_HOSTS.forEach(cluster::kill);
    awaitServed(0);
    awaitServed(1);
    assertThat(send(0, 3, 40).join().status()).isEqualTo(200);
    assertThat(send(1, 3, 40).join().status()).isEqualTo(200);
  }

  @Test
  void jobRunningAtIsolationIsAnsweredAsUnknown() throws Exception {
    CompletableFuture<HttpReply> before = send(0, 4, 600);
    Thread.sleep(100);
    isolateNorth();
    // Its leader is unreachable, so it is unknown whether it ran: it must not be answered as
    // refused.
    assertThat(before.join().status()).isEqualTo(504);
  }

  @Test
  void partitionLeaderTakesOverWhenIsolationEnds() throws Exception {
    isolateNorth();
    awaitServed(0);
    awaitServed(1);
    assertThat(send(0, 2, 40).join().status()).isEqualTo(200);
    cluster.store().setDown(false);
    for (int host : SOUTH_HOSTS) {
      cluster.restore(host);
    }
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    Thread.sleep(1_000);
    for (int host = 0; host < 7; host++) {
      assertThat(send(host, 3, 40).join().status()).isEqualTo(200);
    }
  }

  /**
   * Among hosts of equal capacity, the first by name leads; after its loss, the second takes over.
   */
  @Test
  void anotherHostLeadsDomainWhenLeaderIsLost() throws Exception {
    isolateNorth();
    awaitServed(0);
    awaitServed(1);
    assertThat(send(2, 2, 40).join().status()).isEqualTo(200);
    cluster.kill(0);
    awaitServed(1);
    awaitServed(2);
    assertThat(send(1, 2, 40).join().status()).isEqualTo(200);
    assertThat(send(2, 2, 40).join().status()).isEqualTo(200);
  }

  /**
   * The domain's leader has no other workers, and must honor the drain that its host knew before
   * the isolation.
   */
  @Test
  void drainedIsolatedDomainStartsNothing() throws Exception {
    cluster.store().put("op/evacuate/north", "{}");
    Thread.sleep(1_000);
    assertThat(send(0, 2, 30).join().status()).isEqualTo(200);
    isolateNorth();
    observer.usedDomains.clear();
    long deadline = System.nanoTime() + ISOLATION_MILLIS * 1_000_000;
    while (System.nanoTime() < deadline) {
      int status = send(0, 1, 10).join().status();
      assertThat(status).isAnyOf(503, 504);
      Thread.sleep(RETRY_MILLIS);
    }
    assertThat(observer.usedDomains).isEmpty();
  }

  @Test
  void isolatedDomainRefusesDurableJobs() throws Exception {
    isolateNorth();
    awaitServed(0);
    awaitServed(1);
    String id = String.format(Locale.ROOT, "%016x", ++jobs);
    int status = cluster.send(0, "POST", id, PlatformCluster.durableJob(1, 30)).join().status();
    assertThat(status).isEqualTo(503);
  }

  /**
   * A host that starts in an isolated domain has no state and must receive it from other hosts of
   * the domain.
   */
  @Test
  void hostsRestartedDuringIsolationServeCallers() throws Exception {
    isolateNorth();
    awaitServed(0);
    cluster.restart(1);
    cluster.restart(2);
    awaitServed(1);
    awaitServed(2);
    // Host 0 must be able to lead the hosts that restarted before it.
    cluster.restart(0);
    for (int host : List.of(0, 1, 2)) {
      awaitServed(host);
      assertThat(send(host, 2, 40).join().status()).isEqualTo(200);
    }
  }

  /** Running jobs complete under the stopping leader; later jobs are served by its successor. */
  @Test
  void stoppingDomainLeaderHandsOver() throws Exception {
    isolateNorth();
    awaitServed(0);
    awaitServed(1);
    awaitServed(2);
    CompletableFuture<HttpReply> running = send(1, 4, 600);
    Thread.sleep(150);
    final CompletableFuture<Void> stopped =
        CompletableFuture.runAsync(() -> cluster.hosts().get(0).drain());
    List<CompletableFuture<HttpReply>> later = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Thread.sleep(100);
      later.add(send(1 + i % 2, 1, 30));
    }
    assertThat(running.join().status()).isEqualTo(200);
    for (CompletableFuture<HttpReply> reply : later) {
      assertThat(reply.join().status()).isEqualTo(200);
    }
    stopped.join();
    cluster.kill(0);
    final long killedAt = System.nanoTime();
    assertThat(send(1, 2, 40).join().status()).isEqualTo(200);
    assertThat(send(2, 2, 40).join().status()).isEqualTo(200);
    long millis = (System.nanoTime() - killedAt) / 1_000_000;
    assertThat(millis).isLessThan(MIN_ELECTION_MILLIS);
  }

  /** Callers wait no longer than the domain takes to detect its isolation. */
  @Test
  void idleIsolatedDomainServesWithinTwoPolls() throws Exception {
    assertThat(send(0, 1, 10).join().status()).isEqualTo(200);
    isolateNorth();
    final long isolatedAt = System.nanoTime();
    Thread.sleep(DETECTION_MILLIS);
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int host : List.of(0, 1, 2)) {
      replies.add(send(host, 1, 10));
    }
    for (CompletableFuture<HttpReply> reply : replies) {
      assertThat(reply.join().status()).isEqualTo(200);
    }
    long millis = (System.nanoTime() - isolatedAt) / 1_000_000;
    assertThat(millis).isLessThan(MIN_TWO_POLLS_MILLIS);
  }
}
