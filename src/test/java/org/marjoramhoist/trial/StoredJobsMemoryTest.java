package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.job.Resources;

/**
 * A host with a small heap beside callers who hand in more durable jobs with the largest specs than
 * it can hold.
 */
class StoredJobsMemoryTest {

  private static final int HEAP_MIB = 24;
  private static final int DESCRIPTORS = 4_096;
  private static final int CROWD = 6_000;
  private static final int SPEC_BYTES = 4_000;
  private static final int RETRY_MILLIS = 100;
  private static final int TRIES = 100;
  private static final Resources TASK = new Resources(1, 0, 0);

  @TempDir private Path directory;

  private static byte[] request(String method, String path, String body) {
    String fields = "Content-Type: application/json\r\nX-Marjoramhoist-Deadline-Ms: 5000\r\n";
    return RawCaller.request(method, PlatformCluster.AUTHORITY, path, fields, body);
  }

  private static String job(int millis, int specBytes) {
    String spec = millis + " ";
    return String.format(
        Locale.ROOT,
        "{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":1,\"estimateMs\":%d}]}",
        spec + "x".repeat(specBytes - spec.length()),
        millis);
  }

  private static RawCaller.Response call(HostProcess host, String method, String path, String body)
      throws IOException {
    try (RawCaller caller = new RawCaller(host.callers())) {
      caller.send(request(method, path, body));
      return caller.receive();
    }
  }

  /** Returns how many jobs the host accepted; the others were refused and told when to retry. */
  private static int submitCrowd(HostProcess host) throws IOException {
    int accepted = 0;
    try (RawCaller caller = new RawCaller(host.callers())) {
      for (int i = 0; i < CROWD; i++) {
        caller.send(request("POST", host.nextJobPath(), job(600_000, SPEC_BYTES)));
        RawCaller.Response response = caller.receive();
        assertThat(response.status()).isAnyOf(200, 503);
        if (response.status() == 200) {
          accepted++;
        } else {
          assertThat(response.headers()).containsKey("retry-after");
        }
      }
    }
    return accepted;
  }

  private static String awaitState(HostProcess host, String path)
      throws IOException, InterruptedException {
    String state = "";
    for (int i = 0; i < TRIES && !state.equals(HostProcess.SUCCEEDED); i++) {
      Thread.sleep(RETRY_MILLIS);
      state = call(host, "GET", path, "").body();
    }
    return state;
  }

  /** Each leader loaded more than its heap holds and ended, for ever; no job was known any more. */
  @Test
  void leaderAfterLeaderHoldsWhatWasAccepted() throws Exception {
    try (HostProcess host = new HostProcess(directory, HEAP_MIB, DESCRIPTORS, TASK)) {
      List<String> ordinary = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        ordinary.add(host.nextJobPath());
        assertThat(call(host, "POST", ordinary.get(i), job(3_000, 100)).status()).isEqualTo(200);
      }
      int accepted = submitCrowd(host);
      assertThat(accepted).isGreaterThan(100);
      assertWithMessage("refused jobs").that(CROWD - accepted).isGreaterThan(0);
      for (int i = 0; i < 2; i++) {
        host.replace();
        for (String path : ordinary) {
          assertThat(awaitState(host, path)).isEqualTo(HostProcess.SUCCEEDED);
        }
      }
      assertThat(host.isAlive()).isTrue();
      assertThat(host.logText()).doesNotContain("OutOfMemoryError");
    }
  }
}
