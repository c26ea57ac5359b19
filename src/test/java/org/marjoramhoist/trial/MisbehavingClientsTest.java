package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.trial.ClientCrowd.Behavior;

/**
 * A host beside a crowd of clients that don't behave.
 *
 * <p>The bounds follow from the smallest machine: 290 MiB for a process with a heap of 96 MiB, of
 * which the test's host has less.
 */
class MisbehavingClientsTest {

  private static final int DEPLOYED_HEAP_MIB = 96;
  private static final int SMALLEST_MACHINE_MIB = 290;
  private static final int HEAP_MIB = 24;
  private static final int MAX_PEAK_MIB = SMALLEST_MACHINE_MIB - (DEPLOYED_HEAP_MIB - HEAP_MIB);
  private static final int MANY_DESCRIPTORS = 4_096;
  private static final int FEW_DESCRIPTORS = 500;

  /** Descriptors that are no client's: files, and sockets to the store and to workers. */
  private static final int OTHER_DESCRIPTORS = 100;

  private static final int CLIENTS = 100;
  private static final int MANY_CLIENTS = 600;
  private static final long CROWD_MILLIS = 6_000;
  private static final long CLOSE_MILLIS = 30_000;
  private static final long SAMPLE_MILLIS = 100;

  /** Lines that a host may log beside a crowd; it logs some 15 a second when nothing happens. */
  private static final int MAX_LOG_LINES = 2_000;

  private static final int HEAD_BYTES = 16_384;
  private static final int BODY_BYTES = 262_144;
  private static final String GET = "GET /check/ HTTP/1.1\r\nHost: reviews.example\r\n";
  private static final String GET_JOB =
      "GET /check/00000000000ffffe HTTP/1.1\r\nHost: reviews.example\r\n";
  private static final String POST =
      "POST /check/00000000000fffff HTTP/1.1\r\nHost: reviews.example\r\n";
  private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";

  /** Which listener a crowd uses. */
  private interface Listener {
    String address(HostProcess host);
  }

  @TempDir private Path directory;

  private void holdsBeside(Behavior behavior) throws IOException, InterruptedException {
    holdsBeside(HostProcess::callers, CLIENTS, MANY_DESCRIPTORS, behavior);
  }

  private void holdsBeside(Listener listener, int clients, int descriptors, Behavior behavior)
      throws IOException, InterruptedException {
    try (HostProcess host = new HostProcess(directory, HEAP_MIB, descriptors)) {
      final int before = host.openDescriptors();
      int most = 0;
      try (ClientCrowd crowd = new ClientCrowd(listener.address(host), clients, behavior)) {
        for (long passed = 0; passed < CROWD_MILLIS && host.isAlive(); passed += SAMPLE_MILLIS) {
          Thread.sleep(SAMPLE_MILLIS);
          most = Math.max(most, host.openDescriptors());
        }
        assertThat(crowd.connectionsMade()).isGreaterThan(0);
      }
      assertAlive(host);
      RawCaller.Response response = host.submitJob();
      assertWithMessage("status of an ordinary request").that(response.status()).isEqualTo(200);
      assertThat(response.body()).isEqualTo(HostProcess.SUCCEEDED);
      assertAlive(host);
      assertThat(host.peakMib()).isAtMost(MAX_PEAK_MIB);
      assertThat(most).isAtMost(before + clients + OTHER_DESCRIPTORS);
      assertThat(openDescriptorsAfterCrowd(host, before)).isAtMost(before + OTHER_DESCRIPTORS);
      assertThat((int) host.logText().lines().count()).isAtMost(MAX_LOG_LINES);
    }
  }

  /** A host that has run out of memory once may have lost a thread that nobody misses. */
  private static void assertAlive(HostProcess host) {
    assertWithMessage("the process lives").that(host.isAlive()).isTrue();
    assertThat(host.logText()).doesNotContain("OutOfMemoryError");
  }

  private static int openDescriptorsAfterCrowd(HostProcess host, int before)
      throws InterruptedException {
    int open = host.openDescriptors();
    for (long t = 0; t < CLOSE_MILLIS && open > before + OTHER_DESCRIPTORS; t += SAMPLE_MILLIS) {
      Thread.sleep(SAMPLE_MILLIS);
      open = host.openDescriptors();
    }
    return open;
  }

  @Test
  void emptyLinesWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless("", "\r\n"));
  }

  @Test
  void emptyLinesOfLineFeedsWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless("", "\n"));
  }

  @Test
  void methodWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless("", "G"));
  }

  @Test
  void pathWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless("GET /check/", "a"));
  }

  @Test
  void queryWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless("GET /check/?", "a=b&"));
  }

  @Test
  void headerNameWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(GET, "a"));
  }

  @Test
  void headerValueWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(GET + "a: ", "b"));
  }

  @Test
  void blanksBeforeHeaderValueWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(GET + "a:", " "));
  }

  @Test
  void shortHeaderLinesWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(GET, "a:\r\n"));
  }

  @Test
  void headOverTheLimitHeldOpen() throws Exception {
    holdsBeside(Behaviors.held(GET + "a: " + "b".repeat(1_000_000)));
  }

  @Test
  void headsOfOddLinesHeldOpen() throws Exception {
    String head = GET + Behaviors.oddLines(190, 66);
    assertThat(head.length()).isLessThan(HEAD_BYTES);
    holdsBeside(HostProcess::callers, MANY_CLIENTS, MANY_DESCRIPTORS, Behaviors.held(head));
  }

  @Test
  void headsOfOddLinesOnKeptConnections() throws Exception {
    String request = GET_JOB + Behaviors.oddLines(190, 66) + "\r\n";
    holdsBeside(
        HostProcess::callers, MANY_CLIENTS, MANY_DESCRIPTORS, Behaviors.kept(10_000, request));
  }

  @Test
  void bodiesInFullLengthHeldBack() throws Exception {
    holdsBeside(
        Behaviors.heldBody(POST + "Content-Length: " + BODY_BYTES + "\r\n\r\n", BODY_BYTES - 1));
  }

  @Test
  void bodiesOfMebibyteHeldBack() throws Exception {
    int bytes = 1 << 20;
    holdsBeside(Behaviors.heldBody(POST + "Content-Length: " + bytes + "\r\n\r\n", bytes - 16));
  }

  @Test
  void bodyLongerThanTold() throws Exception {
    holdsBeside(Behaviors.endless(POST + "Content-Length: 1\r\n\r\n", "x"));
  }

  @Test
  void smallChunksWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(CHUNKED, "8\r\nxxxxxxxx\r\n"));
  }

  @Test
  void chunkExtensionWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(CHUNKED + "1;a=", "b"));
  }

  @Test
  void chunkSizeWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(CHUNKED, "0"));
  }

  @Test
  void trailersWithoutEnd() throws Exception {
    holdsBeside(Behaviors.fast(CHUNKED + "0\r\n", "a: b\r\n"));
  }

  @Test
  void trailerWithoutEnd() throws Exception {
    holdsBeside(Behaviors.endless(CHUNKED + "0\r\na: ", "b"));
  }

  @Test
  void pipelinedRequestsWithUnreadResponses() throws Exception {
    holdsBeside(Behaviors.unread(GET_JOB + "\r\n"));
  }

  @Test
  void pipelinedRequestsForUnreadMetrics() throws Exception {
    holdsBeside(
        HostProcess::metrics,
        CLIENTS,
        MANY_DESCRIPTORS,
        Behaviors.unread("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"));
  }

  @Test
  void halfClosedConnectionsWithUnreadResponses() throws Exception {
    holdsBeside(Behaviors.halfClosed((GET_JOB + "\r\n").repeat(1_000)));
  }

  @Test
  void trailersWithoutEndAtTheReadinessCheck() throws Exception {
    holdsBeside(
        HostProcess::ready,
        CLIENTS,
        MANY_DESCRIPTORS,
        Behaviors.endless(CHUNKED + "0\r\n", Behaviors.oddLines(400, 8)));
  }

  @Test
  void headerValueWithoutEndAtTheMetrics() throws Exception {
    holdsBeside(
        HostProcess::metrics, CLIENTS, MANY_DESCRIPTORS, Behaviors.endless(GET + "a: ", "b"));
  }

  /** Each frame claims 16 MiB, of which nothing follows. */
  @Test
  void framesThatAreAnnouncedToBeLong() throws Exception {
    holdsBeside(
        HostProcess::peers, CLIENTS, MANY_DESCRIPTORS, Behaviors.held("\1\0\0\0" + "x".repeat(16)));
  }

  /** Each frame claims 16 MiB and comes slowly. */
  @Test
  void framesWithoutEnd() throws Exception {
    holdsBeside(
        HostProcess::peers, CLIENTS, MANY_DESCRIPTORS, Behaviors.endless("\0\177\0\0", "x"));
  }

  /** Legal jobs, of which far more come than workers have room for. */
  @Test
  void jobsOfLegalSizeWithoutEnd() throws Exception {
    LegalJobs jobs = new LegalJobs(1_000, 180);
    assertThat(jobs.bodyBytes()).isAtMost(BODY_BYTES);
    holdsBeside(jobs);
  }

  /** Idle connections, more than the process may have; callers must be able to connect. */
  @Test
  void moreConnectionsThanDescriptors() throws Exception {
    try (HostProcess host = new HostProcess(directory, HEAP_MIB, FEW_DESCRIPTORS)) {
      try (ClientCrowd crowd = new ClientCrowd(host.callers(), MANY_CLIENTS, Behaviors.held(GET))) {
        Thread.sleep(CROWD_MILLIS);
        assertThat(crowd.connectionsMade()).isAtLeast(FEW_DESCRIPTORS);
        assertThat(host.submitJob().status()).isEqualTo(200);
      }
      assertAlive(host);
      assertThat(host.submitJob().status()).isEqualTo(200);
      assertThat(host.peakMib()).isAtMost(MAX_PEAK_MIB);
      assertThat((int) host.logText().lines().count()).isAtMost(MAX_LOG_LINES);
    }
  }
}
