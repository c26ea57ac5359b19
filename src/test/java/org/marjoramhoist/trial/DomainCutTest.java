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
 * Real hosts in two failure domains, one of which loses the other and the store. The leader is in
 * the other one, whose hosts have larger machines.
 */
class DomainCutTest {

  private static final long READY_MILLIS = 20_000;
  private static final long RETRY_MILLIS = 100;
  private static final long CUT_MILLIS = 5_000;

  /** When every host of a domain that is cut off misses the leader. */
  private static final long MISSED_MILLIS = 550;

  /** An election after the loss of a domain's leader takes longer than this. */
  private static final long ELECTION_MILLIS = 450;

  /** Two rounds of asking other hosts take longer than this. */
  private static final long SERVED_MILLIS = 1_300;

  private static final PlatformCluster.Host NORTH =
      new PlatformCluster.Host("north", new NodeSettings.Limits(1, 1_000));
  private static final PlatformCluster.Host SOUTH =
      new PlatformCluster.Host("south", new NodeSettings.Limits(4, 1_000));
  private static final List<Integer> SOUTH_HOSTS = List.of(3, 4, 5, 6);

  private final StartsObserver starts = new StartsObserver();
  private PlatformCluster cluster;
  private int jobs;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    cluster =
        new PlatformCluster(
            List.of(NORTH, NORTH, NORTH, SOUTH, SOUTH, SOUTH, SOUTH),
            List.of("north", "north", "south", "south"),
            starts);
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    // A larger host that follows for two seconds is handed the lead.
    long deadline = System.nanoTime() + READY_MILLIS * 1_000_000;
    while (SOUTH_HOSTS.stream().noneMatch(host -> cluster.hosts().get(host).isLeader())) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(20);
    }
  }

  @AfterEach
  void stop() {
    cluster.close();
    assertThat(starts.twice).isEmpty();
  }

  private CompletableFuture<HttpReply> send(int host, int tasks, int millis) {
    String id = String.format(Locale.ROOT, "%016x", ++jobs);
    return cluster.send(host, "POST", id, PlatformCluster.job(tasks, millis));
  }

  /** Hands jobs in until one is served, as callers that are refused come back. */
  private void awaitServed(int host) throws InterruptedException {
    long deadline = System.nanoTime() + READY_MILLIS * 1_000_000;
    while (send(host, 1, 10).join().status() != 200) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(RETRY_MILLIS);
    }
  }

  private void cutNorthOff() throws IOException {
    cluster.store().setDown(true);
    for (int host : SOUTH_HOSTS) {
      cluster.silence(host);
    }
  }

  @Test
  void domainThatIsCutOffServesItsCallersOnItsWorkers() throws Exception {
    assertThat(send(0, 2, 30).join().status()).isEqualTo(200);
    cutNorthOff();
    awaitServed(0);
    awaitServed(1);
    awaitServed(2);
    starts.used.clear();
    for (int host : List.of(0, 1, 2, 0)) {
      assertThat(send(host, 3, 40).join().status()).isEqualTo(200);
    }
    assertThat(starts.used).containsExactly("north");
  }

  /** A cut may refuse connections rather than swallow them; that looks as if all had ended. */
  @Test
  void domainWhoseConnectionsAreRefusedServesItsCallers() throws Exception {
    cluster.store().setDown(true);
    SOUTH_HOSTS.forEach(cluster::kill);
    awaitServed(0);
    awaitServed(1);
    assertThat(send(0, 3, 40).join().status()).isEqualTo(200);
    assertThat(send(1, 3, 40).join().status()).isEqualTo(200);
  }

  @Test
  void jobHandedInAtTheCutIsAnsweredOnce() throws Exception {
    CompletableFuture<HttpReply> before = send(0, 4, 600);
    Thread.sleep(100);
    cutNorthOff();
    // Its leader is gone: whether it ran can't be told, so it must not be called refused.
    assertThat(before.join().status()).isEqualTo(504);
  }

  @Test
  void partitionsLeaderTakesOverWhenTheCutHeals() throws Exception {
    cutNorthOff();
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

  /** Of equal hosts the first by name leads; the second takes over from it. */
  @Test
  void anotherHostLeadsTheDomainWhenItsLeaderIsLost() throws Exception {
    cutNorthOff();
    awaitServed(0);
    awaitServed(1);
    assertThat(send(2, 2, 40).join().status()).isEqualTo(200);
    cluster.kill(0);
    awaitServed(1);
    awaitServed(2);
    assertThat(send(1, 2, 40).join().status()).isEqualTo(200);
    assertThat(send(2, 2, 40).join().status()).isEqualTo(200);
  }

  /** Its leader has no other workers, and goes by the drain that its host knew before the cut. */
  @Test
  void drainedDomainThatIsCutOffStartsNothing() throws Exception {
    cluster.store().put("op/evacuate/north", "{}");
    Thread.sleep(1_000);
    assertThat(send(0, 2, 30).join().status()).isEqualTo(200);
    cutNorthOff();
    starts.used.clear();
    long deadline = System.nanoTime() + CUT_MILLIS * 1_000_000;
    while (System.nanoTime() < deadline) {
      int status = send(0, 1, 10).join().status();
      assertThat(status).isAnyOf(503, 504);
      Thread.sleep(RETRY_MILLIS);
    }
    assertThat(starts.used).isEmpty();
  }

  @Test
  void durableJobsAreRefusedMeanwhile() throws Exception {
    cutNorthOff();
    awaitServed(0);
    awaitServed(1);
    String id = String.format(Locale.ROOT, "%016x", ++jobs);
    int status = cluster.send(0, "POST", id, PlatformCluster.durableJob(1, 30)).join().status();
    assertThat(status).isEqualTo(503);
  }

  /** A host that starts behind the cut knows nothing and must learn it from its domain. */
  @Test
  void hostsThatRestartBehindTheCutServeTheirCallersAgain() throws Exception {
    cutNorthOff();
    awaitServed(0);
    cluster.restart(1);
    cluster.restart(2);
    awaitServed(1);
    awaitServed(2);
    // The first of the restarted hosts must be able to lead the second and the third.
    cluster.restart(0);
    for (int host : List.of(0, 1, 2)) {
      awaitServed(host);
      assertThat(send(host, 2, 40).join().status()).isEqualTo(200);
    }
  }

  /** Jobs at work end with the leader that stops, the others go on with its successor. */
  @Test
  void leaderOfTheDomainThatStopsHandsOver() throws Exception {
    cutNorthOff();
    awaitServed(0);
    awaitServed(1);
    awaitServed(2);
    CompletableFuture<HttpReply> atWork = send(1, 4, 600);
    Thread.sleep(150);
    final CompletableFuture<Void> stopped =
        CompletableFuture.runAsync(() -> cluster.hosts().get(0).drain());
    List<CompletableFuture<HttpReply>> later = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Thread.sleep(100);
      later.add(send(1 + i % 2, 1, 30));
    }
    assertThat(atWork.join().status()).isEqualTo(200);
    for (CompletableFuture<HttpReply> reply : later) {
      assertThat(reply.join().status()).isEqualTo(200);
    }
    stopped.join();
    cluster.kill(0);
    final long killedAt = System.nanoTime();
    assertThat(send(1, 2, 40).join().status()).isEqualTo(200);
    assertThat(send(2, 2, 40).join().status()).isEqualTo(200);
    long millis = (System.nanoTime() - killedAt) / 1_000_000;
    assertThat(millis).isLessThan(ELECTION_MILLIS);
  }

  /** Callers are kept waiting no longer than the domain takes to find that it is cut off. */
  @Test
  void domainThatIsCutOffServesWithinSecondIfNothingRan() throws Exception {
    assertThat(send(0, 1, 10).join().status()).isEqualTo(200);
    cutNorthOff();
    final long cutAt = System.nanoTime();
    Thread.sleep(MISSED_MILLIS);
    List<CompletableFuture<HttpReply>> held = new ArrayList<>();
    for (int host : List.of(0, 1, 2)) {
      held.add(send(host, 1, 10));
    }
    for (CompletableFuture<HttpReply> reply : held) {
      assertThat(reply.join().status()).isEqualTo(200);
    }
    long millis = (System.nanoTime() - cutAt) / 1_000_000;
    assertThat(millis).isLessThan(SERVED_MILLIS);
  }
}
