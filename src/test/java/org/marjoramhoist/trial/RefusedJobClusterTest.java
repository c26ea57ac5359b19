package org.marjoramhoist.trial;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.time.Instant;
import java.util.Collections;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.job.JobId;

/** Callers overload a host that follows the leader over slow links, which are reset. */
class RefusedJobClusterTest {

  private static final long SEED = 45;
  private static final int HOSTS = 4;
  private static final int WORKERS = 4;
  private static final String DOMAIN = "dev";
  private static final NodeSettings.Limits LIMITS = new NodeSettings.Limits(1, 1_000);
  private static final long READY_MILLIS = 20_000;

  /**
   * The delay of what the follower sends after each other reset: less than the time after which its
   * leader replaces a silent link.
   */
  private static final int LONG_DELAY_MILLIS = 400;

  private static final int DELAY_MILLIS = 5;

  /** Four times what the workers can run. */
  private static final int JOBS_PER_SECOND = 320;

  private static final int MEAN_TASK_MILLIS = 400;

  private static final int RESETS = 10;
  private static final long FIRST_RESET_MILLIS = 2_500;
  private static final int MIN_RESET_MILLIS = 600;
  private static final int MAX_RESET_MILLIS = 800;
  private static final long LOAD_MILLIS = 20_000;
  private static final int MIN_REFUSED = 300;

  /** More than the time after which a caller gives up. */
  private static final long ANSWER_MILLIS = 21_000;

  /** How long after the last answer a start would be found. */
  private static final long LATE_START_MILLIS = 3_000;

  private final RecordingObserver observer = new RecordingObserver();
  private final Random random = new Random(SEED);
  private SlowLinks links;
  private PlatformCluster cluster;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    links = new SlowLinks(HOSTS, DELAY_MILLIS);
    cluster =
        new PlatformCluster(
            Collections.nCopies(HOSTS, new PlatformCluster.Host(DOMAIN, LIMITS)),
            Collections.nCopies(WORKERS, DOMAIN),
            observer,
            links::route);
    assertThat(cluster.awaitReady(READY_MILLIS)).isTrue();
  }

  @AfterEach
  void stop() {
    cluster.close();
    links.close();
  }

  private int follower() {
    for (int i = 0; i < HOSTS; i++) {
      if (!cluster.hosts().get(i).isLeader()) {
        return i;
      }
    }
    throw new AssertionError("every host leads");
  }

  /** Returns a job's body; the tasks differ in length, so that they end one after the other. */
  private static String body(int number) {
    int extraMillis = number * 37 % MEAN_TASK_MILLIS;
    return PlatformCluster.job(1, MEAN_TASK_MILLIS / 2 + extraMillis);
  }

  /** Resets the links to a host at seeded times, and returns how many links were open. */
  private int resetLinks(int host) throws InterruptedException {
    Thread.sleep(FIRST_RESET_MILLIS);
    long deadline = System.nanoTime() + LOAD_MILLIS * 1_000_000;
    int resets = 0;
    while (resets < RESETS && System.nanoTime() < deadline) {
      Thread.sleep(random.nextInt(MIN_RESET_MILLIS, MAX_RESET_MILLIS));
      resets += links.reset(cluster.peerAddress(host));
    }
    return resets;
  }

  private static void awaitAnswers(SteadyLoad load) throws InterruptedException {
    long deadline = System.nanoTime() + ANSWER_MILLIS * 1_000_000;
    while (!load.isAnswered()) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(20);
    }
  }

  /** Returns the refused jobs of which a task started, with the times. */
  private Map<String, String> startedAmong(Map<JobId, SteadyLoad.Answer> refused) {
    Map<JobId, Instant> starts = observer.lastStarts();
    Map<String, String> found = new TreeMap<>();
    refused.forEach(
        (id, answer) -> {
          Instant start = starts.get(id);
          if (start != null) {
            found.put(id.toString(), "refused " + answer.at() + ", started " + start);
          }
        });
    return found;
  }

  /** Guards against a job that starts although its only submission was refused. */
  @Test
  void noRefusedJobStarts() throws InterruptedException {
    int host = follower();
    links.setLongDelay(cluster.peerAddress(host), LONG_DELAY_MILLIS);
    SteadyLoad load =
        new SteadyLoad(
            cluster,
            JOBS_PER_SECOND,
            number -> number % 2 == 0 ? host : number / 2 % HOSTS,
            RefusedJobClusterTest::body);
    try (load) {
      assertThat(resetLinks(host)).isAtLeast(RESETS);
    }
    awaitAnswers(load);
    Thread.sleep(LATE_START_MILLIS);
    Map<JobId, SteadyLoad.Answer> refused = load.answers(503);
    Map<String, String> started = startedAmong(refused);
    assertThat(refused.size()).isAtLeast(MIN_REFUSED);
    assertWithMessage("%s of %s refused jobs started", started.size(), refused.size())
        .that(started)
        .isEmpty();
  }
}
