package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.entry.EntryNode;
import org.marjoramhoist.http.RawCaller;

/** A host that is stopped as planned answers each request that it has read. */
class PlannedStopClusterTest {

  private static final int HOSTS = 3;
  private static final int WORKERS = 6;
  private static final int CALLERS = 24;
  private static final long READY_MILLIS = 20_000;
  private static final long DRAIN_MILLIS = 6_000;
  private static final String SUCCEEDED = "{\"state\":\"succeeded\"}";

  private final RecordingObserver observer = new RecordingObserver();
  private PlatformCluster cluster;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    cluster = new PlatformCluster(HOSTS, WORKERS, observer);
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
  }

  @AfterEach
  void stop() {
    cluster.close();
    assertThat(observer.concurrentRuns).isEmpty();
  }

  private int leader() {
    for (int i = 0; i < HOSTS; i++) {
      if (cluster.hosts().get(i).isLeader()) {
        return i;
      }
    }
    throw new AssertionError("no host is leader");
  }

  /** Stops a host as the shutdown hook of its process does, and returns how long that took. */
  private long stopHost(int host) {
    long start = System.nanoTime();
    EntryNode node = cluster.hosts().get(host);
    node.drain();
    node.close();
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  private CompletableFuture<Long> stopLater(int host) {
    return CompletableFuture.supplyAsync(() -> stopHost(host));
  }

  private Set<String> startedJobs() {
    return observer.startedTasks().stream()
        .map(task -> task.job().value())
        .collect(Collectors.toSet());
  }

  private void stopUnderSteadyCallers(int host) throws InterruptedException {
    long millis;
    SteadyCallers callers = new SteadyCallers(CALLERS, cluster.address(host), "%016x", 30);
    try (callers) {
      Thread.sleep(300);
      millis = stopHost(host);
    }
    Set<String> started = startedJobs();
    assertWithMessage("cut after their task had started")
        .that(callers.cut.stream().filter(started::contains).toList())
        .isEmpty();
    for (Map.Entry<String, RawCaller.Response> entry : callers.responses.entrySet()) {
      RawCaller.Response response = entry.getValue();
      if (response.status() == 503) {
        assertThat(started).doesNotContain(entry.getKey());
        assertThat(response.headers()).containsKey("retry-after");
      } else {
        assertWithMessage(entry.getKey()).that(response.status()).isEqualTo(200);
      }
    }
    assertThat(millis).isLessThan(DRAIN_MILLIS - 1_000);
  }

  @Test
  void leaderThatStopsUnderSteadyCallersCutsNone() throws InterruptedException {
    stopUnderSteadyCallers(leader());
  }

  @Test
  void followerThatStopsUnderSteadyCallersCutsNone() throws InterruptedException {
    stopUnderSteadyCallers((leader() + 1) % HOSTS);
  }

  @Test
  void requestHalfReadAsTheStopBeginsIsServed()
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    int host = (leader() + 1) % HOSTS;
    byte[] request = SteadyCallers.submission("00000000000000a1", PlatformCluster.job(1, 30));
    try (RawCaller caller = new RawCaller(cluster.address(host))) {
      int half = request.length - 10;
      caller.send(request, 0, half);
      Thread.sleep(100);
      final CompletableFuture<Long> stopped = stopLater(host);
      Thread.sleep(2_700);
      caller.send(request, half, request.length - half);
      RawCaller.Response response = caller.receive();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body()).isEqualTo(SUCCEEDED);
      assertThat(stopped.get(DRAIN_MILLIS, TimeUnit.MILLISECONDS)).isLessThan(DRAIN_MILLIS);
    }
  }

  @Test
  void requestOnOpenConnectionAfterGraceIsServedWhileTheHostDrains()
      throws IOException, InterruptedException {
    int host = (leader() + 1) % HOSTS;
    try (RawCaller late = new RawCaller(cluster.address(host));
        RawCaller open = new RawCaller(cluster.address(host))) {
      late.send(SteadyCallers.submission("00000000000000b1", PlatformCluster.job(1, 10)));
      assertThat(late.receive().closesConnection()).isFalse();
      open.send(SteadyCallers.submission("00000000000000b2", PlatformCluster.job(1, 3_500)));
      Thread.sleep(100);
      final CompletableFuture<Long> stopped = stopLater(host);
      Thread.sleep(2_700);
      late.send(SteadyCallers.submission("00000000000000b3", PlatformCluster.job(1, 10)));
      RawCaller.Response response = late.receive();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.closesConnection()).isTrue();
      assertThat(open.receive().status()).isEqualTo(200);
      stopped.join();
    }
  }

  @Test
  void jobThatCannotEndBeforeTheHostIsRefusedUnstarted() throws IOException, InterruptedException {
    int host = (leader() + 1) % HOSTS;
    try (RawCaller caller = new RawCaller(cluster.address(host));
        RawCaller open = new RawCaller(cluster.address(host));
        RawCaller halfRead = new RawCaller(cluster.address(host))) {
      byte[] request = SteadyCallers.submission("00000000000000c3", PlatformCluster.job(1, 30));
      halfRead.send(request, 0, request.length - 1);
      open.send(SteadyCallers.submission("00000000000000c1", PlatformCluster.job(1, 9_000)));
      Thread.sleep(100);
      final CompletableFuture<Long> stopped = stopLater(host);
      Thread.sleep(200);
      caller.send(SteadyCallers.submission("00000000000000c2", PlatformCluster.job(1, 9_000)));
      RawCaller.Response response = caller.receive();
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.headers()).containsKey("retry-after");
      assertThat(startedJobs()).doesNotContain("00000000000000c2");
      assertThat(open.receive().status()).isEqualTo(504);
      assertThat(halfRead.receive().status()).isEqualTo(503);
      assertThat(stopped.join()).isLessThan(DRAIN_MILLIS);
    }
  }

  /** Returns the jobs of callers at another host that were not served while the leader stopped. */
  private Map<String, RawCaller.Response> notServedElsewhereWhileLeaderStops(int taskMillis)
      throws InterruptedException {
    int leader = leader();
    String other = cluster.address((leader + 1) % HOSTS);
    SteadyCallers callers = new SteadyCallers(CALLERS, other, "%016x", taskMillis);
    try (callers) {
      Thread.sleep(500);
      stopHost(leader);
      Thread.sleep(500);
    }
    assertThat(callers.cut).isEmpty();
    Map<String, RawCaller.Response> notServed = new HashMap<>(callers.responses);
    notServed.values().removeIf(response -> response.status() == 200);
    return notServed;
  }

  @Test
  void callersOfOtherHostsDoNotNoticeThatTheLeaderStops() throws InterruptedException {
    assertThat(notServedElsewhereWhileLeaderStops(30)).isEmpty();
  }

  @Test
  void runsOfTheLeaderThatStopsAreTakenOver() throws InterruptedException {
    assertThat(notServedElsewhereWhileLeaderStops(700)).isEmpty();
    assertThat(observer.startCounts().values().stream().filter(count -> count > 1).toList())
        .isEmpty();
  }

  @Test
  void leaderThatStopsWhileTheStoreIsAwayLeadsUntilItCanHandOver()
      throws IOException, InterruptedException {
    int leader = leader();
    cluster.store().setDown(true);
    final CompletableFuture<Long> stopped = stopLater(leader);
    Thread.sleep(3_200);
    try (RawCaller caller = new RawCaller(cluster.address((leader + 1) % HOSTS))) {
      caller.send(SteadyCallers.submission("00000000000000d1", PlatformCluster.job(1, 30)));
      assertThat(caller.receive().status()).isEqualTo(200);
      cluster.store().setDown(false);
      assertThat(stopped.join()).isLessThan(DRAIN_MILLIS);
      caller.send(SteadyCallers.submission("00000000000000d2", PlatformCluster.job(1, 30)));
      assertThat(caller.receive().status()).isEqualTo(200);
    }
  }
}
