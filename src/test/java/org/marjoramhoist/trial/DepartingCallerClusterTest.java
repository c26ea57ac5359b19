package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.TaskRef;

/**
 * Callers whose connections end while they wait. Guards against a job that goes on after its caller
 * has gone, and runs twice once the caller submits it to the leader of another failure domain.
 */
class DepartingCallerClusterTest {

  private static final int HOSTS = 2;
  private static final int WORKERS = 4;
  private static final long READY_MILLIS = 20_000;
  private static final int TASK_MILLIS = 4_000;
  private static final long START_MILLIS = 3_000;

  /** Less than the time after which callers submit a job again. */
  private static final long STOP_MILLIS = 1_200;

  private static final String ID = "00000000000000a1";

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
  }

  private boolean isRunning(String id) {
    synchronized (observer) {
      TaskRef task = new TaskRef(new JobId(id), 0, 0);
      return observer.runningCounts.getOrDefault(task, 0) > 0;
    }
  }

  private boolean awaitRunning(String id, boolean expected, long millis)
      throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (isRunning(id) != expected && System.nanoTime() < end) {
      Thread.sleep(5);
    }
    return isRunning(id) == expected;
  }

  /** Returns a caller whose job is running; the job is handed to the host with a number. */
  private RawCaller callerOfRunningJob(int host) throws IOException, InterruptedException {
    RawCaller caller = new RawCaller(cluster.address(host));
    caller.send(SteadyCallers.submission(ID, PlatformCluster.job(1, TASK_MILLIS)));
    assertThat(awaitRunning(ID, true, START_MILLIS)).isTrue();
    return caller;
  }

  @Test
  void jobStopsWhenItsCallersConnectionIsReset() throws IOException, InterruptedException {
    for (int host = 0; host < HOSTS; host++) {
      callerOfRunningJob(host).reset();
      assertThat(awaitRunning(ID, false, STOP_MILLIS)).isTrue();
    }
  }

  @Test
  void jobStopsWhenItsCallerClosesTheConnection() throws IOException, InterruptedException {
    callerOfRunningJob(0).close();
    assertThat(awaitRunning(ID, false, STOP_MILLIS)).isTrue();
  }

  /** Such a caller may still read, and must not wait for what has been stopped. */
  @Test
  void callerThatClosesOnlyItsOutputIsAnswered() throws IOException, InterruptedException {
    try (RawCaller caller = callerOfRunningJob(0)) {
      caller.closeOutput();
      assertThat(caller.receive().status()).isEqualTo(504);
    }
    assertThat(awaitRunning(ID, false, STOP_MILLIS)).isTrue();
  }

  /** The job that another caller has joined goes on and is answered. */
  @Test
  void jobGoesOnForCallerThatStays() throws IOException, InterruptedException {
    RawCaller leaving = callerOfRunningJob(0);
    try (RawCaller staying = new RawCaller(cluster.address(0))) {
      staying.send(SteadyCallers.submission(ID, PlatformCluster.job(1, TASK_MILLIS)));
      Thread.sleep(200);
      leaving.reset();
      assertThat(staying.receive().status()).isEqualTo(200);
    }
    assertThat(observer.startCounts().values()).containsExactly(1);
  }

  /** Requests that arrive while the first one waits, whole or in parts, are served in turn. */
  @Test
  void requestsSentAheadAreServed() throws IOException, InterruptedException {
    byte[] second = SteadyCallers.submission("00000000000000a2", PlatformCluster.job(1, 30));
    byte[] third = SteadyCallers.submission("00000000000000a3", PlatformCluster.job(1, 30));
    int half = second.length / 2;
    try (RawCaller caller = callerOfRunningJob(0)) {
      caller.send(Arrays.copyOfRange(second, 0, half));
      Thread.sleep(100);
      caller.send(Arrays.copyOfRange(second, half, second.length));
      Thread.sleep(100);
      caller.send(third, 0, 10);
      assertThat(caller.receive().status()).isEqualTo(200);
      assertThat(caller.receive().status()).isEqualTo(200);
      caller.send(third, 10, third.length - 10);
      assertThat(caller.receive().status()).isEqualTo(200);
    }
  }

  /** A caller that has sent another request ahead is still noticed when it leaves. */
  @Test
  void jobStopsWhenCallerThatSentRequestAheadLeaves() throws IOException, InterruptedException {
    RawCaller caller = callerOfRunningJob(0);
    caller.send(SteadyCallers.submission("00000000000000a2", PlatformCluster.job(1, 30)));
    Thread.sleep(100);
    caller.reset();
    assertThat(awaitRunning(ID, false, STOP_MILLIS)).isTrue();
  }

  @Test
  void durableJobGoesOnWithoutItsCaller() throws IOException, InterruptedException {
    RawCaller caller = new RawCaller(cluster.address(0));
    caller.send(SteadyCallers.submission(ID, PlatformCluster.durableJob(1, 1_000)));
    assertThat(awaitRunning(ID, true, START_MILLIS)).isTrue();
    caller.reset();
    assertThat(awaitRunning(ID, false, 500)).isFalse();
  }
}
