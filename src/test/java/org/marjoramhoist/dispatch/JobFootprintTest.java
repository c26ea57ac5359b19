package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.lang.ref.Reference;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobFootprint;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.json.Utf8;

/** The estimate of the memory that an open job takes, against what stored jobs take. */
class JobFootprintTest extends DispatcherFixture {

  private static final int COLLECTIONS = 3;

  /** Have room for 10,000 tasks. */
  private static final int WORKERS = 10;

  /** What other threads of the test's process may take and free meanwhile. */
  private static final long NOISE_BYTES = 1 << 20;

  private static String text(int bytes, boolean wide) {
    return wide ? "ш".repeat(bytes / 2) : "x".repeat(bytes);
  }

  /** Returns what a leader gets of a job: objects of its own, as a message or the store gives. */
  private static StoredJob received(int number, int specBytes, boolean wide, int steps, int count)
      throws Exception {
    JobId id = new JobId(String.format(Locale.ROOT, "%016x", number));
    List<StepSpec> specs =
        IntStream.range(0, steps)
            .mapToObj(
                step -> tasks(count, IntStream.range(Math.max(0, step - 5), step).boxed().toList()))
            .toList();
    JobDescription job =
        new JobDescription(id, text(specBytes, wide), specs, Set.of(JobFeature.DURABLE));
    JobDescription read =
        JsonText.MAPPER.readValue(
            JsonText.of(job).getBytes(StandardCharsets.UTF_8), JobDescription.class);
    return new StoredJob(read, REQUEST_CLASS, 10_000);
  }

  private static long usedBytes() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      Thread.sleep(20);
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Lets workers with room for all of them run the tasks that are ready. */
  private void startTasks() {
    WorkerInfo[] workers =
        IntStream.range(0, WORKERS)
            .mapToObj(i -> worker("w-" + i, Integer.MAX_VALUE, false))
            .toArray(WorkerInfo[]::new);
    listWorkers(workers);
    for (WorkerInfo each : workers) {
      report(each.id(), List.of());
    }
    List<DispatchAction.Start> starts = takeActions(DispatchAction.Start.class);
    while (!starts.isEmpty()) {
      for (DispatchAction.Start each : starts) {
        confirmStart(each.worker().id(), each.run());
      }
      starts = takeActions(DispatchAction.Start.class);
    }
  }

  /** Too low an estimate lets jobs fill the heap of leader after leader. */
  @ParameterizedTest
  @CsvSource({
    "0, false, 1, 1, 4000",
    "4000, false, 1, 1, 4000",
    "4000, true, 1, 1, 4000",
    "100, false, 1, 20, 1000",
    "100, false, 50, 1, 300",
    "4000, false, 1, 10000, 5"
  })
  void openJobTakesNoMoreThanEstimated(
      int specBytes, boolean wide, int steps, int count, int number) throws Exception {
    step(0, new DispatchEvent.JobsLoaded(1, List.of(), List.of()));
    actions.clear();
    final long before = usedBytes();
    List<DispatchEvent.LoadedJob> loaded = new ArrayList<>();
    for (int i = 0; i < number; i++) {
      loaded.add(
          new DispatchEvent.LoadedJob(
              received(i, specBytes, wide, steps, count), Optional.empty()));
    }
    final long estimate =
        loaded.stream().mapToLong(each -> JobFootprint.bytesOf(each.record().job())).sum();
    beginTerm(now);
    step(1, new DispatchEvent.JobsLoaded(2, loaded, List.of()));
    loaded.clear();
    startTasks();
    actions.clear();
    long taken = usedBytes() - before;
    Reference.reachabilityFence(dispatcher);
    System.out.printf(
        Locale.ROOT,
        "spec=%d wide=%b steps=%d count=%d: %d bytes a job, estimated %d, stored %d%n",
        specBytes,
        wide,
        steps,
        count,
        taken / number,
        estimate / number,
        Utf8.lengthOf(JsonText.of(received(0, specBytes, wide, steps, count))));
    assertWithMessage("bytes taken").that(taken).isAtMost(estimate + NOISE_BYTES);
  }

  @Test
  void longLabelsCount() {
    StepSpec plain = tasks(1, List.of());
    StepSpec labelled =
        new StepSpec(1, plain.need(), plain.estimateMillis(), List.of(), "x".repeat(9_000), "", 0);
    long difference = bytesOf(labelled) - bytesOf(plain);
    assertThat(difference).isAtLeast(9_000);
  }

  private static long bytesOf(StepSpec step) {
    return JobFootprint.bytesOf(
        new JobDescription(new JobId("00000000000000aa"), "", List.of(step), Set.of()));
  }
}
