package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramhoist.http.HttpReply;

/** Runs hosts beside an entry that another writer left among those of the workers. */
class OddWorkerEntryClusterTest {

  private static final int HOSTS = 2;
  private static final int JOBS = 6;
  private static final long READY_MILLIS = 10_000;
  private static final String WORKERS = "servers/";
  private static final String LONG_ID = "x".repeat(180);
  private static final String LONG_LABEL = "x".repeat(600_000);

  /** An entry; the address of a living worker replaces {@code $address}. */
  private record Odd(String id, String value) {
    @Override
    public String toString() {
      return id.substring(0, Math.min(20, id.length())) + " " + value.length();
    }
  }

  private final RecordingObserver observer = new RecordingObserver();
  private PlatformCluster cluster;
  private int sent;

  @BeforeEach
  void start() throws IOException {
    cluster = new PlatformCluster(HOSTS, 4, observer);
  }

  @AfterEach
  void stop() {
    cluster.close();
    assertThat(observer.concurrentRuns).isEmpty();
  }

  private static String entry(String cpu, String address, String labels) {
    return "{\"service\":\"reviews\",\"address\":\""
        + address
        + "\",\"zone\":\"dev\",\"state\":\"ready\",\"born\":1,\"capacity\":{\"cpu\":"
        + cpu
        + ",\"memMb\":8192,\"gpu\":0},\"labels\":["
        + labels
        + "]}";
  }

  static Stream<Odd> oddEntries() {
    return Stream.of(
        new Odd(LONG_ID, entry("8000", "127.0.0.1:9", "\"a\"")),
        new Odd("labels", entry("8000", "127.0.0.1:9", "\"" + LONG_LABEL + "\"")),
        new Odd("a\r\nX-Odd: 1", entry("8000", "$address", "\"a\"")));
  }

  private void put(Odd odd) {
    String registration = cluster.workers().get(0).registration(false);
    String address = registration.replaceFirst(".*\"address\":\"([^\"]*)\".*", "$1");
    cluster.store().put(WORKERS + odd.id(), odd.value().replace("$address", address));
  }

  private void assertJobsAreServed() {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format(Locale.ROOT, "%016x", ++sent);
      String job = i == 0 ? PlatformCluster.durableJob(1, 20) : PlatformCluster.job(2, 20);
      replies.add(cluster.send(i % HOSTS, "POST", id, job));
    }
    replies.forEach(reply -> assertThat(reply.join().status()).isEqualTo(200));
  }

  /** The first workers of a new leader are stored together. */
  @ParameterizedTest
  @MethodSource("oddEntries")
  void hostsStartBesideOddEntry(Odd odd) throws InterruptedException {
    put(odd);
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    assertJobsAreServed();
  }

  /** Such a worker is as one that is not listed: it keeps its runs and gets no new ones. */
  @Test
  void runsGoOnWhereTheEntriesTurnOdd() throws InterruptedException {
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    String id = String.format(Locale.ROOT, "%016x", ++sent);
    CompletableFuture<HttpReply> reply =
        cluster.send(0, "POST", id, PlatformCluster.job(24, 2_500));
    while (observer.startedTasks().size() < 24) {
      Thread.sleep(5);
    }
    for (int i = 0; i < 4; i++) {
      cluster.store().put(WORKERS + "worker-" + i, "{}");
    }
    assertThat(reply.join()).isEqualTo(new HttpReply(200, "{\"state\":\"succeeded\"}"));
    assertThat(observer.startCounts().values())
        .containsExactlyElementsIn(Collections.nCopies(24, 1));
    for (int i = 0; i < 4; i++) {
      String entry = cluster.workers().get(i).registration(false);
      cluster.store().put(WORKERS + "worker-" + i, entry);
    }
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    Thread.sleep(READY_MILLIS / 10);
    assertJobsAreServed();
  }

  @Test
  void jobsAreServedBesideEachOddEntry() throws InterruptedException, IOException {
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    List<Odd> all = new ArrayList<>(oddEntries().toList());
    all.add(new Odd("", entry("8000", "127.0.0.1:9", "\"a\"")));
    all.add(new Odd("port", entry("8000", "127.0.0.1:99999", "\"a\"")));
    all.add(new Odd("address", entry("8000", "999.1.1.1:80", "\"a\"")));
    all.add(new Odd("cpu", entry("9".repeat(26), "$address", "\"a\"")));
    all.add(new Odd("huge", entry("1e400", "$address", "\"a\"")));
    all.add(new Odd("deep", "[".repeat(60_000) + "]".repeat(60_000)));
    all.add(new Odd("worker-1", "[".repeat(990) + "]".repeat(990)));
    all.add(new Odd("worker-1", ""));
    for (Odd odd : all) {
      put(odd);
      assertJobsAreServed();
    }
    for (int i = 0; i < HOSTS; i++) {
      cluster.kill(i);
    }
    cluster.restartAll();
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
    assertJobsAreServed();
  }
}
